package org.cactusseam.model.claim;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What the node of a claim says about it to a node that got the same key. */
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
   * The attempt ran, and this is its answer.
   *
   * @param answer stored answer
   */
  record Stored(StoredResponse answer) implements ClaimStatus {}

  /** The attempt runs, or is about to. */
  record InProgress() implements ClaimStatus {}

  /** The attempt ran; its answer is no longer held. */
  record Ran() implements ClaimStatus {}

  /** The attempt was sent to a backend server, and its outcome is not known. */
  record MayHaveRun() implements ClaimStatus {}

  /** The attempt did not run and never will; its release is or will be in the log. */
  record NotRun() implements ClaimStatus {}

  /** Another run of the node made the attempt; this run knows nothing of it. */
  record Unknown() implements ClaimStatus {}
}
