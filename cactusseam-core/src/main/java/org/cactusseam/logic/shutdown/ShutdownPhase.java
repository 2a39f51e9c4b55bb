package org.cactusseam.logic.shutdown;

/** Where a node is on its way out. */
public enum ShutdownPhase {
  /** No signal was received. */
  SERVING,
  /** The node is announced as leaving and still serves what the load balancer sends. */
  ANNOUNCED,
  /** New requests are refused; open requests continue. */
  DRAINING,
  /** Nothing is open; shards and records of claims are still on their way. */
  HANDING_OVER,
  /** The second signal was received; callers are being told to resume. */
  INTERRUPTING,
  /** The process ends. */
  FINISHED
}
