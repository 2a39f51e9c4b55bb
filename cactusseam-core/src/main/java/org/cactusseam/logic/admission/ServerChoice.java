package org.cactusseam.logic.admission;

/** Rule that picks one of the backend servers that can take an attempt. */
public enum ServerChoice {
  /** Least expected load by the owner's own counts and estimates. */
  EXPECTED_LOAD,
  /** Baseline: one after the other. */
  ROUND_ROBIN,
  /** Baseline: fewest open attempts. */
  LEAST_CONNECTIONS,
  /** Baseline: lowest load in the last report, however old it is. */
  LEAST_REPORTED_LOAD
}
