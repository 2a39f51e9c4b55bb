package org.cactusseam.edge.control;

import java.util.function.Consumer;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;

/** Admission as traffic threads use it. All methods may be called on any event loop. */
public interface AdmissionClient {

  /**
   * Asks for a permit.
   *
   * @param request attempt
   * @param answer called once, on the caller's context
   */
  void ask(PermitRequest request, Consumer<PermitAnswer> answer);

  /**
   * Gives up an attempt that has no answer yet.
   *
   * @param attempt attempt
   */
  void withdraw(PermitRequestId attempt);

  /**
   * Reports the head of the backend server's response.
   *
   * @param shard shard that granted the permit
   * @param attempt attempt
   * @param condition what the server says of itself
   */
  void confirmed(ShardId shard, PermitRequestId attempt, BackendCondition condition);

  /**
   * Reports progress, to be passed on at the next inventory.
   *
   * @param attempt attempt
   * @param tokens tokens delivered so far
   */
  void progress(PermitRequestId attempt, long tokens);

  /**
   * Calls back when the failure of an attempt that {@link #ended} as broken may be answered or
   * retried: the owners know of the crash, or it was none, or 2 s passed.
   *
   * @param attempt attempt
   * @param then called once, on the caller's context
   */
  void whenReleased(PermitRequestId attempt, Runnable then);

  /**
   * Reports the end of an attempt that had a permit.
   *
   * @param shard shard that granted the permit
   * @param attempt attempt
   * @param end how it ended
   * @param tokens tokens delivered
   */
  void ended(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens);
}
