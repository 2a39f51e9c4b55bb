package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Reports of all VMs on one order. */
public final class RolloutReports {

  /** Five intervals of the reports in draining. An older one may be from before a disconnection. */
  private static final Duration MAX_AGE = Duration.ofSeconds(1);

  private final Map<String, Received> latest = new HashMap<>();

  private record Received(RolloutReport report, Instant at) {}

  /**
   * Adds a report.
   *
   * @param report counts since the VM read the order
   * @return responses that no earlier report contained
   */
  public Map<EvidenceKey, ResponseCounts> add(RolloutReport report, Instant now) {
    Received received = latest.put(report.node(), new Received(report, now));
    RolloutReport before = received == null ? null : received.report();
    if (before == null || before.startedAtMillis() != report.startedAtMillis()) {
      return report.counts();
    }
    Map<EvidenceKey, ResponseCounts> added = new HashMap<>();
    report
        .counts()
        .forEach(
            (key, counts) ->
                added.put(
                    key, counts.minus(before.counts().getOrDefault(key, ResponseCounts.NONE))));
    return added;
  }

  /**
   * Returns whether VMs have reported, while they sent all requests to the new version, that
   * nothing runs on replaced servers.
   *
   * @param nodes VMs that must have reported a short time ago
   * @return whether all have
   */
  public boolean isDrained(Collection<String> nodes, Instant now) {
    return nodes.stream()
        .map(latest::get)
        .allMatch(
            received ->
                received != null && hasSwitched(received, now) && received.report().oldRuns() == 0);
  }

  /**
   * Returns whether VMs have reported that they send all requests to the new version.
   *
   * @param nodes VMs that must have reported a short time ago
   * @return whether all have
   */
  public boolean hasSwitched(Collection<String> nodes, Instant now) {
    return nodes.stream()
        .map(latest::get)
        .allMatch(received -> received != null && hasSwitched(received, now));
  }

  /** A VM reports the draining stage only after it has entered it. */
  private static boolean hasSwitched(Received received, Instant now) {
    return received.report().stage().equals(new RolloutStage.Draining().label())
        && !received.at().plus(MAX_AGE).isBefore(now);
  }
}
