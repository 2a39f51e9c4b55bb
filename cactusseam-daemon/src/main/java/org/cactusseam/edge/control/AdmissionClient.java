package org.cactusseam.edge.control;

import java.util.function.Consumer;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;

/**
 * Client of the admission control for the threads that serve requests. All methods may be called on
 * any event loop.
 */
public interface AdmissionClient {

  /**
   * Requests a permit to send an attempt to a backend server.
   *
   * @param request attempt and its requirements
   * @param answer called once, on the context of the calling thread
   */
  void requestPermit(PermitRequest request, Consumer<PermitAnswer> answer);

  /**
   * Withdraws the request for a permit of an attempt that has no answer yet.
   *
   * @param attempt attempt that will not be sent
   */
  void withdraw(PermitRequestId attempt);

  /**
   * Reports that a backend server has sent the head of its response.
   *
   * @param shard shard that granted the permit
   * @param attempt attempt that the server answers
   * @param condition state that the server reported about itself in the head
   */
  void reportResponseStarted(ShardId shard, PermitRequestId attempt, BackendCondition condition);

  /**
   * Reports the progress of an attempt. The owner of the shard receives it with the next list of
   * running attempts.
   *
   * @param attempt attempt that runs
   * @param tokens number of tokens delivered so far
   */
  void reportProgress(PermitRequestId attempt, long tokens);

  /**
   * Runs a callback when the failure of an attempt whose end was reported as broken by {@link
   * #reportEnd} may be answered or retried: when the owners of the shards know about the crash of
   * the backend server, when it did not crash, or after 2 s.
   *
   * @param attempt attempt that failed
   * @param callback called once, on the context of the calling thread
   */
  void whenReleased(PermitRequestId attempt, Runnable callback);

  /**
   * Reports that the backend server answered an attempt with a failure of its own. Must be called
   * before {@link #reportEnd}; a broken connection counts as a failure without it.
   *
   * @param attempt attempt that failed
   */
  void reportFailure(PermitRequestId attempt);

  /**
   * Reports the end of an attempt that had a permit.
   *
   * @param shard shard that granted the permit
   * @param attempt attempt that ended
   * @param end how it ended
   * @param tokens number of tokens delivered in total
   */
  void reportEnd(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens);
}
