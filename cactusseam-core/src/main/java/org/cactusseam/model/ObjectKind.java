package org.cactusseam.model;

/** Kinds of configuration objects. */
public enum ObjectKind {
  /** Kind of {@link ClientAccount}. */
  ACCOUNT,
  /** Kind of {@link PriorityClass}. */
  PRIORITY_CLASS,
  /** Kind of {@link Route}. */
  ROUTE,
  /** Kind of {@link FailureDomain}. */
  FAILURE_DOMAIN,
  /** Kind of {@link BackendServer}. */
  BACKEND_SERVER,
  /** Kind of {@link PoolRollout}, whose name is that of the pool. */
  POOL_ROLLOUT
}
