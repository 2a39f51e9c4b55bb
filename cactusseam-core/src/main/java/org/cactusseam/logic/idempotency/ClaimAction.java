package org.cactusseam.logic.idempotency;

import java.time.Instant;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.claim.ClaimBatch;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimKey;
import org.cactusseam.model.claim.StoredResponse;

/** What the daemon has to do for a {@link ClaimCoordinator}. */
public sealed interface ClaimAction {

  /**
   * Append a record to the stream {@code claims} and report how it went. The daemon must not send
   * it again itself.
   *
   * @param batch number of the batch
   * @param record record
   */
  record Append(long batch, ClaimBatch record) implements ClaimAction {}

  /**
   * The attempt may run. The daemon calls {@link ClaimCoordinator#tryStart} directly before it
   * sends the request and sends it only if the answer is true.
   *
   * @param id attempt
   * @param until end of the right unless a tick renews it
   */
  record Dispatch(ClaimId id, Instant until) implements ClaimAction {}

  /**
   * Refuse the caller; the attempt is over.
   *
   * @param id attempt
   * @param refusal answer
   */
  record Refuse(ClaimId id, Refusal refusal) implements ClaimAction {}

  /**
   * Answer the caller with the result of an earlier attempt; this attempt is over.
   *
   * @param id attempt
   * @param answer answer
   */
  record Answer(ClaimId id, StoredResponse answer) implements ClaimAction {}

  /**
   * Ask the node of another claim about it, and report its answer or that it is gone.
   *
   * @param id attempt that waits for the answer
   * @param node node to ask
   * @param key idempotency key
   * @param claim claim to ask about
   */
  record Ask(ClaimId id, NodeName node, ClaimKey key, ClaimId claim) implements ClaimAction {}
}
