package org.cactusseam.model.claim;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A state change of an attempt, as recorded in the stream {@code claims}. Entries are idempotent: a
 * duplicate has no effect.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ClaimEntry.Claimed.class, name = "claimed"),
  @JsonSubTypes.Type(value = ClaimEntry.Released.class, name = "released"),
  @JsonSubTypes.Type(value = ClaimEntry.Finished.class, name = "finished")
})
public sealed interface ClaimEntry {

  /**
   * Returns the idempotency key that the attempt claims.
   *
   * @return idempotency key, with its client account
   */
  ClaimKey key();

  /**
   * Returns the attempt whose state changes.
   *
   * @return identity of the attempt
   */
  ClaimId id();

  /**
   * The attempt claims the key. Among the claims of a key, the first in log order that is not
   * released holds the key and may be executed.
   *
   * @param key idempotency key
   * @param id identity of the attempt
   * @param fingerprint hash of account, route and body; detects a key that is reused for a
   *     different request
   */
  record Claimed(ClaimKey key, ClaimId id, String fingerprint) implements ClaimEntry {}

  /**
   * The attempt was not executed and never will be, so the next claim in log order holds the key.
   * Only the daemon that made the attempt appends this entry.
   *
   * @param key idempotency key
   * @param id identity of the attempt
   */
  record Released(ClaimKey key, ClaimId id) implements ClaimEntry {}

  /**
   * The attempt completed; no request with this key is executed again.
   *
   * @param key idempotency key
   * @param id identity of the attempt
   */
  record Finished(ClaimKey key, ClaimId id) implements ClaimEntry {}
}
