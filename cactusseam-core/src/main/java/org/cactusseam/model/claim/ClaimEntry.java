package org.cactusseam.model.claim;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** One statement about an attempt in the stream {@code claims}. Repeating one is harmless. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ClaimEntry.Claimed.class, name = "claimed"),
  @JsonSubTypes.Type(value = ClaimEntry.Released.class, name = "released"),
  @JsonSubTypes.Type(value = ClaimEntry.Finished.class, name = "finished")
})
public sealed interface ClaimEntry {

  /**
   * Returns the key that this statement is about.
   *
   * @return idempotency key
   */
  ClaimKey key();

  /**
   * Returns the attempt that this statement is about.
   *
   * @return identity of the attempt
   */
  ClaimId id();

  /**
   * The attempt asks to run. The first claim of a key that is not released may run.
   *
   * @param key idempotency key
   * @param id identity of the attempt
   * @param fingerprint hash of account, route and body, to recognise the key with another body
   */
  record Claimed(ClaimKey key, ClaimId id, String fingerprint) implements ClaimEntry {}

  /**
   * The attempt did not run and never will; the next claim in log order may run. Only the node of
   * the attempt writes this.
   *
   * @param key idempotency key
   * @param id identity of the attempt
   */
  record Released(ClaimKey key, ClaimId id) implements ClaimEntry {}

  /**
   * The attempt ran to its end; the key never runs again.
   *
   * @param key idempotency key
   * @param id identity of the attempt
   */
  record Finished(ClaimKey key, ClaimId id) implements ClaimEntry {}
}
