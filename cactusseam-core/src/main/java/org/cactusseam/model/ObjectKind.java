package org.cactusseam.model;

/** Kinds of configuration objects. */
public enum ObjectKind {
  /** See {@link ClientAccount}. */
  ACCOUNT,
  /** See {@link PriorityClass}. */
  PRIORITY_CLASS,
  /** See {@link Route}. */
  ROUTE,
  /** See {@link FailureDomain}. */
  FAILURE_DOMAIN,
  /** See {@link BackendServer}. */
  BACKEND_SERVER
}
