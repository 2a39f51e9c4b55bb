package org.cactusseam.logic.idempotency;

import java.time.Instant;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.claim.ClaimBatch;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimKey;
import org.cactusseam.model.claim.StoredResponse;

/** An action that a {@link ClaimCoordinator} requests from the daemon. */
public sealed interface ClaimAction {

  /**
   * Append a record to the stream {@code claims} and report the result. The daemon must not retry
   * the append, because the coordinator does so itself.
   *
   * @param batch sequence number of the batch, by which the result is reported
   * @param record record to append
   */
  record Append(long batch, ClaimBatch record) implements ClaimAction {}

  /**
   * The attempt holds its key and may be sent. The daemon calls {@link ClaimCoordinator#tryStart}
   * immediately before it sends the request, and sends it only if that call returns true.
   *
   * @param id attempt that may be sent
   * @param until time at which the dispatch lease expires unless {@link ClaimCoordinator#tick}
   *     renews it
   */
  record Dispatch(ClaimId id, Instant until) implements ClaimAction {}

  /**
   * Refuse the request; the attempt has ended.
   *
   * @param id attempt that has ended
   * @param refusal reason to send to the caller
   */
  record Refuse(ClaimId id, Refusal refusal) implements ClaimAction {}

  /**
   * Replay the response of an earlier attempt to the caller; this attempt has ended.
   *
   * @param id attempt that has ended
   * @param response response of the earlier attempt
   */
  record Replay(ClaimId id, StoredResponse response) implements ClaimAction {}

  /**
   * Query the state of another claim from the daemon that made it, and report the reply or that the
   * daemon is unreachable.
   *
   * @param id attempt that waits for the reply
   * @param node daemon that made the other claim
   * @param key idempotency key that both attempts claim
   * @param claim claim whose state is queried
   */
  record QueryClaim(ClaimId id, NodeName node, ClaimKey key, ClaimId claim)
      implements ClaimAction {}
}
