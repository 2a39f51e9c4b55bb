package org.cactusseam.logic.admission;

import java.util.ArrayList;
import java.util.List;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.Permit;

/**
 * Attempts of a backend server whose requester is gone. Their streams may still run, so they count
 * until reports show that the server runs fewer streams. Two reports in a row must show it, because
 * the end of a live stream can reach the owner after the report that no longer counts it.
 */
final class Orphans {

  /**
   * Age from which an attempt is certainly sent, if ever, and counted by reports: the validity of a
   * permit and the lag of a report.
   */
  private static final long SETTLED_MILLIS = Permit.VALIDITY_MILLIS + 1_000;

  private int excessInLastReport;

  /**
   * Returns the orphans that are gone.
   *
   * @param attempts open attempts of the server
   * @param report report that just arrived
   * @param now time in milliseconds
   */
  List<Attempt> gone(List<Attempt> attempts, LoadReport report, long now) {
    List<Attempt> orphans = new ArrayList<>(0);
    int live = 0;
    for (Attempt attempt : attempts) {
      boolean settled = now - attempt.grantedAt > SETTLED_MILLIS;
      if (attempt.orphaned && settled) {
        orphans.add(attempt);
      } else if (attempt.confirmed && settled) {
        live++;
      }
    }
    if (orphans.isEmpty()) {
      excessInLastReport = 0;
      return List.of();
    }
    int mayRun = Math.max(0, report.running() + report.waiting() - live);
    int excess = Math.max(0, orphans.size() - mayRun);
    int certain = Math.min(excess, excessInLastReport);
    excessInLastReport = excess - certain;
    return orphans.subList(0, certain);
  }
}
