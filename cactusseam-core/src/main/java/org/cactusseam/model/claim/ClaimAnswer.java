package org.cactusseam.model.claim;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What the node of a claim says about it to a node that got the same key. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ClaimAnswer.Stored.class, name = "stored"),
  @JsonSubTypes.Type(value = ClaimAnswer.InProgress.class, name = "in_progress"),
  @JsonSubTypes.Type(value = ClaimAnswer.Ran.class, name = "ran"),
  @JsonSubTypes.Type(value = ClaimAnswer.MayHaveRun.class, name = "may_have_run"),
  @JsonSubTypes.Type(value = ClaimAnswer.NotRun.class, name = "not_run"),
  @JsonSubTypes.Type(value = ClaimAnswer.Unknown.class, name = "unknown")
})
public sealed interface ClaimAnswer {

  /**
   * The attempt ran, and this is its answer.
   *
   * @param answer stored answer
   */
  record Stored(StoredAnswer answer) implements ClaimAnswer {}

  /** The attempt runs, or is about to. */
  record InProgress() implements ClaimAnswer {}

  /** The attempt ran; its answer is no longer held. */
  record Ran() implements ClaimAnswer {}

  /** The attempt was sent to a backend server, and its outcome is not known. */
  record MayHaveRun() implements ClaimAnswer {}

  /** The attempt did not run and never will; its release is or will be in the log. */
  record NotRun() implements ClaimAnswer {}

  /** Another run of the node made the attempt; this run knows nothing of it. */
  record Unknown() implements ClaimAnswer {}
}
