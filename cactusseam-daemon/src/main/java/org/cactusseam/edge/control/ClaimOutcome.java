package org.cactusseam.edge.control;

import org.cactusseam.model.Refusal;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;

/** Answer to a claim. */
public sealed interface ClaimOutcome {

  /**
   * The request may run.
   *
   * @param id attempt
   */
  record Permitted(ClaimId id) implements ClaimOutcome {}

  /**
   * The request must not run.
   *
   * @param refusal numbered reason
   */
  record Denied(Refusal refusal) implements ClaimOutcome {}

  /**
   * An earlier request with the key ran.
   *
   * @param answer its answer
   */
  record Repeated(StoredResponse answer) implements ClaimOutcome {}
}
