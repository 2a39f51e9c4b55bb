package org.cactusseam.logic.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Reports of all VMs on one order. */
public final class RolloutReports {

  private final Map<String, RolloutReport> latest = new HashMap<>();

  /**
   * Adds a report.
   *
   * @param report counts since the VM read the order
   * @return responses that no earlier report contained
   */
  public Map<EvidenceKey, ResponseCounts> add(RolloutReport report) {
    RolloutReport before = latest.put(report.node(), report);
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
   * Returns whether VMs have reported, while they followed the draining stage, that nothing runs on
   * replaced servers.
   *
   * @param nodes VMs that must have reported
   * @return whether all have
   */
  public boolean isDrained(Collection<String> nodes) {
    String draining = new RolloutStage.Draining().label();
    return nodes.stream()
        .map(latest::get)
        .allMatch(
            report -> report != null && report.stage().equals(draining) && report.oldRuns() == 0);
  }
}
