package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import org.cactusseam.model.gateway.EngineReport;
import org.cactusseam.model.gateway.ServerInstance;

/** Calls to model engines that are not requests of callers; implemented by an adapter. */
public interface EngineClient {

  /** How an engine answered a call that copies a run. */
  sealed interface CopyResult {

    /**
     * The copy is complete.
     *
     * @param handle identity of the copy, together with the address of the source
     */
    record Copied(String handle) implements CopyResult {}

    /**
     * Nothing was copied.
     *
     * @param reason what the engine answered
     */
    record Rejected(String reason) implements CopyResult {}
  }

  /**
   * Copies the memory of a running request to another engine while the run goes on. A repeated call
   * copies only what is new.
   *
   * @param source engine that runs it
   * @param attemptId attempt that was sent to the source
   * @param target engine that receives the copy
   * @return result; fails if the answer is lost
   */
  Future<CopyResult> copy(ServerInstance source, String attemptId, ServerInstance target);

  /**
   * Asks an engine for its report.
   *
   * @param engine engine
   * @return report; fails if the engine does not answer
   */
  Future<EngineReport> report(ServerInstance engine);
}
