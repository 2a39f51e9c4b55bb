package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import org.cactusseam.model.gateway.EngineReport;
import org.cactusseam.model.gateway.ServerInstance;

/** Calls to model engines that are not requests of callers; implemented by an adapter. */
public interface EngineCalls {

  /** How an engine answered a call that copies or moves a run. */
  sealed interface MoveResult {

    /**
     * The copy is complete.
     *
     * @param handle identity of the copy, together with the address of the source
     */
    record Copied(String handle) implements MoveResult {}

    /**
     * The run has stopped, its memory is still at the source.
     *
     * @param handle identity of the memory at the source
     */
    record StoppedAtSource(String handle) implements MoveResult {}

    /**
     * Nothing was copied and the run goes on.
     *
     * @param reason what the engine answered
     */
    record Rejected(String reason) implements MoveResult {}
  }

  /**
   * Copies the memory of a running request to another engine.
   *
   * @param source engine that runs it
   * @param attemptId attempt that was sent to the source
   * @param target engine that receives the copy
   * @param stop whether the run stops at the source before the rest is copied
   * @return result; fails if the answer is lost
   */
  Future<MoveResult> move(
      ServerInstance source, String attemptId, ServerInstance target, boolean stop);

  /**
   * Asks an engine for its report.
   *
   * @param engine engine
   * @return report; fails if the engine does not answer
   */
  Future<EngineReport> report(ServerInstance engine);
}
