package org.cactusseam.model.claim;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * State of a claim as the entry daemon that made it reports it to another daemon that received a
 * request with the same idempotency key.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ClaimStatus.Stored.class, name = "stored"),
  @JsonSubTypes.Type(value = ClaimStatus.InProgress.class, name = "in_progress"),
  @JsonSubTypes.Type(value = ClaimStatus.Ran.class, name = "ran"),
  @JsonSubTypes.Type(value = ClaimStatus.MayHaveRun.class, name = "may_have_run"),
  @JsonSubTypes.Type(value = ClaimStatus.NotRun.class, name = "not_run"),
  @JsonSubTypes.Type(value = ClaimStatus.Unknown.class, name = "unknown")
})
public sealed interface ClaimStatus {

  /**
   * The attempt completed and its response is still stored.
   *
   * @param answer stored response
   */
  record Stored(StoredResponse answer) implements ClaimStatus {}

  /** The attempt is running or may still be sent to a backend server. */
  record InProgress() implements ClaimStatus {}

  /** The attempt completed, but its response is no longer stored. */
  record Ran() implements ClaimStatus {}

  /** The attempt was sent to a backend server, and it is not known whether it was executed. */
  record MayHaveRun() implements ClaimStatus {}

  /**
   * The attempt was not executed and never will be; its {@link ClaimEntry.Released} entry is in the
   * log or will be appended.
   */
  record NotRun() implements ClaimStatus {}

  /**
   * The attempt was made by an earlier process of the daemon, of which the current process has no
   * record.
   */
  record Unknown() implements ClaimStatus {}
}
