package org.cactusseam.logic.quarantine;

/** Whether a request may run on a backend server now. */
public enum QuarantineDecision {
  /** It may run there. */
  ALLOWED,
  /** It is a suspect and another suspect runs there: a crash would not tell which one caused it. */
  ISOLATION_REQUIRED,
  /** It crashed backend servers and is refused everywhere. */
  QUARANTINED
}
