package org.cactusseam.logic.admission;

/**
 * One switchable part of the admission decision. Each part can be turned off alone, so that a
 * replay shows what it contributes.
 */
public enum AdmissionFeature {
  /** At most {@code coldLimit} dispatches to a backend server are unconfirmed. */
  CONFIRMATION_WINDOW,
  /** A cold backend server has at most {@code coldLimit} open attempts. */
  COLD_LIMIT,
  /** A backend server that silently holds open streams counts as cold. */
  SILENCE_IS_COLD,
  /** The limit rises in steps after cold start and after the return of a failure domain. */
  RAMP,
  /** Attempts wait until their expected peak memory fits. */
  MEMORY_ESTIMATE,
  /** Classes are served by rank. */
  PRIORITY_ORDER,
  /** Accounts of a class are served by the tokens that were generated for them. */
  FAIR_SHARES,
  /** Unused purchased shares are kept available. */
  PURCHASED_SHARES,
  /** Classes that may wait leave a margin to watched streams. */
  WAITING_YIELDS,
  /** An attempt whose deadline cannot be met is refused on arrival. */
  IMMEDIATE_REFUSAL,
  /** Backend servers that probably hold the prompt's prefix are preferred. */
  PREFIX_AFFINITY,
  /** Retries use a budget. */
  RETRY_BUDGET,
  /** A backend server that fails repeatedly gets a pause. */
  CIRCUIT_BREAKER,
  /** For baselines only: attempts are sent at once, and the engine keeps the queue. */
  UNLIMITED_DISPATCH
}
