package org.cactusseam.logic.quarantine;

/** Decision whether a request may run on a backend server now. */
public enum QuarantineDecision {
  /** The request may run there. */
  ALLOWED,
  /**
   * The request is a suspect and another suspect runs there. After a crash it would remain unknown
   * which of them caused it.
   */
  ISOLATION_REQUIRED,
  /** The request crashed backend servers and is refused everywhere. */
  QUARANTINED
}
