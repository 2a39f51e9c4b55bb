package org.cactusseam.logic.shutdown;

/** Phase of the shutdown of a daemon. */
public enum ShutdownPhase {
  /** No termination signal was received. */
  SERVING,
  /**
   * The daemon has announced that it is leaving, but still accepts requests from the load balancer.
   */
  ANNOUNCED,
  /** New requests are refused; open requests continue. */
  DRAINING,
  /** No requests are open; the handover of shards and the append of claim records are pending. */
  HANDING_OVER,
  /** A second signal was received; open requests are being interrupted. */
  INTERRUPTING,
  /** The process exits. */
  FINISHED
}
