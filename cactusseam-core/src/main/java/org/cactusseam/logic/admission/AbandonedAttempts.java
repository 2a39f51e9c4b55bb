package org.cactusseam.logic.admission;

import java.util.ArrayList;
import java.util.List;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.Permit;

/**
 * Detects which abandoned attempts have ended on a backend server: attempts whose requester is lost
 * or which the server never answered. Their streams may still run, so they count until load reports
 * show that the server runs fewer streams. Two consecutive reports must show it, because the end of
 * a live stream can reach the owner after the report that no longer counts it.
 */
final class AbandonedAttempts {

  /**
   * Age from which an attempt was sent, if it was sent at all, and is counted by load reports: the
   * validity of a permit plus 1 s for the lag of a report.
   */
  private static final long MINIMUM_REPORTED_AGE_MILLIS = Permit.VALIDITY_MILLIS + 1_000;

  private int excessInLastReport;

  /**
   * Returns the abandoned attempts whose streams have ended.
   *
   * @param attempts open attempts of the server
   * @param report load report that just arrived
   * @param now time in milliseconds
   */
  List<Attempt> findEnded(List<Attempt> attempts, LoadReport report, long now) {
    List<Attempt> abandoned = new ArrayList<>(0);
    int live = 0;
    for (Attempt attempt : attempts) {
      boolean reported = now - attempt.grantedAt > MINIMUM_REPORTED_AGE_MILLIS;
      if (attempt.abandoned && reported) {
        abandoned.add(attempt);
      } else if (attempt.confirmed && reported) {
        live++;
      }
    }
    if (abandoned.isEmpty()) {
      excessInLastReport = 0;
      return List.of();
    }
    int mayRun = Math.max(0, report.running() + report.waiting() - live);
    int excess = Math.max(0, abandoned.size() - mayRun);
    int ended = Math.min(excess, excessInLastReport);
    excessInLastReport = excess - ended;
    return abandoned.subList(0, ended);
  }
}
