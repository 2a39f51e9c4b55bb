package org.cactusseam.logic.admission;

/**
 * Features of the admission decision. Each can be disabled on its own, so that a replay shows its
 * contribution.
 */
public enum AdmissionFeature {
  /**
   * At most {@code coldLimit} attempts sent to a backend server are unconfirmed, as the server may
   * have turned cold unnoticed.
   */
  CONFIRMATION_WINDOW,
  /** A cold backend server gets at most {@code coldLimit} open attempts. */
  COLD_LIMIT,
  /** A backend server that has open streams but sends nothing counts as cold. */
  SILENCE_IS_COLD,
  /**
   * The limit of a backend server rises in steps after a cold start and after its failure domain
   * returned to service.
   */
  RAMP,
  /** Attempts wait until the expected peak of the engine memory fits. */
  MEMORY_ESTIMATE,
  /** Priority classes are served in the order of their rank. */
  PRIORITY_ORDER,
  /**
   * Accounts of a class are served in the order of the tokens charged to them, weighted by their
   * shares (fair queueing).
   */
  FAIR_SHARES,
  /** Capacity is reserved for purchased shares that are not in use. */
  PURCHASED_SHARES,
  /** Delay-tolerant classes leave a margin of the capacity to interactive streams. */
  WAITING_YIELDS,
  /**
   * An attempt that is not expected to meet its deadline is refused on arrival or while it waits.
   */
  IMMEDIATE_REFUSAL,
  /** Backend servers that probably hold the prefix of the prompt in their cache are preferred. */
  PREFIX_AFFINITY,
  /** Retries are limited by a budget. */
  RETRY_BUDGET,
  /** A backend server that fails repeatedly gets no attempts for some time. */
  CIRCUIT_BREAKER,
  /** Baselines only: attempts are sent at once, and the engine queues them. */
  UNLIMITED_DISPATCH
}
