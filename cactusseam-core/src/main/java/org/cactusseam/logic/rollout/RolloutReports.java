package org.cactusseam.logic.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

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
   * Returns whether VMs have reported, while they sent all requests to the new version, that
   * nothing runs on replaced servers.
   *
   * @param nodes VMs that must have reported
   * @return whether all have
   */
  public boolean isDrained(Collection<String> nodes) {
    return nodes.stream()
        .map(latest::get)
        .allMatch(each -> each != null && hasSwitched(each) && each.oldRuns() == 0);
  }

  /**
   * Returns whether VMs have reported that they send all requests to the new version.
   *
   * @param nodes VMs that must have reported
   * @return whether all have
   */
  public boolean hasSwitched(Collection<String> nodes) {
    return nodes.stream().map(latest::get).allMatch(RolloutReports::hasSwitched);
  }

  private static boolean hasSwitched(@Nullable RolloutReport report) {
    return report != null && report.stage().equals(new RolloutStage.Draining().label());
  }
}
