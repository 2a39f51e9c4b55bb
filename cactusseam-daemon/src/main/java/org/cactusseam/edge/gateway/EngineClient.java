package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import org.cactusseam.model.gateway.EngineReport;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Client for those calls to model engines that are not requests of callers. Implemented by the
 * platform's adapter.
 */
public interface EngineClient {

  /** Response of an engine to the request to copy the KV cache of a run. */
  sealed interface CopyResult {

    /**
     * The copy is complete.
     *
     * @param handle identifies the copy, together with the address of the source engine
     */
    record Copied(String handle) implements CopyResult {}

    /**
     * Nothing was copied.
     *
     * @param reason response of the engine, for the log
     */
    record Rejected(String reason) implements CopyResult {}
  }

  /**
   * Copies the KV cache of a running request to another engine while the run continues. A repeated
   * call copies only what was added since the previous one.
   *
   * @param source engine that runs the request
   * @param attemptId attempt identifier that was sent to the source
   * @param target engine that receives the copy
   * @return result; fails if no response arrives
   */
  Future<CopyResult> copy(ServerInstance source, String attemptId, ServerInstance target);

  /**
   * Fetches the status report of an engine.
   *
   * @param engine engine to ask
   * @return report; fails if the engine does not respond
   */
  Future<EngineReport> report(ServerInstance engine);
}
