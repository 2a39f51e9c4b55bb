package org.cactusseam.logic.admission;

/** Load-balancing policy: picks one of the backend servers that can take an attempt. */
public enum ServerChoice {
  /** Lowest expected load by the owner's own counts and estimates. */
  EXPECTED_LOAD,
  /** Baseline: round robin. */
  ROUND_ROBIN,
  /** Baseline: fewest open attempts. */
  LEAST_CONNECTIONS,
  /** Baseline: lowest load in the last report, regardless of its age. */
  LEAST_REPORTED_LOAD
}
