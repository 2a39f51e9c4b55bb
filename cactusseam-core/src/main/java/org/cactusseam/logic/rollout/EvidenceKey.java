package org.cactusseam.logic.rollout;

/**
 * What a number of responses have in common.
 *
 * @param measure what was measured
 * @param route name of the route
 * @param isNew whether they came from the new version
 * @param failureDomain failure domain of the servers
 * @param server identifier of the server; empty for the old version, whose servers are not told
 *     apart
 */
public record EvidenceKey(
    Measure measure, String route, boolean isNew, String failureDomain, String server) {

  /** What was measured. */
  public enum Measure {
    /** Outcome of a response, and the time until it was complete or its first event arrived. */
    RESPONSE,
    /** Time that a number of events of a stream took. */
    EVENTS
  }
}
