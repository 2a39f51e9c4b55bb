package org.cactusseam.edge.control;

import org.cactusseam.model.Refusal;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;

/** Outcome of a claim: whether its request may be sent. */
public sealed interface ClaimOutcome {

  /**
   * The request may be sent, after {@link ClaimClient#tryStart} has confirmed it.
   *
   * @param id claim of the request
   */
  record Permitted(ClaimId id) implements ClaimOutcome {}

  /**
   * The request must not be sent.
   *
   * @param refusal refusal for the caller
   */
  record Denied(Refusal refusal) implements ClaimOutcome {}

  /**
   * An earlier request with the same key ran, and its response is replayed.
   *
   * @param answer response of the earlier request
   */
  record Repeated(StoredResponse answer) implements ClaimOutcome {}
}
