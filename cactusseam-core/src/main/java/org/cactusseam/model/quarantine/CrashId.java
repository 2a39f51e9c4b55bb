package org.cactusseam.model.quarantine;

import java.util.Comparator;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;

/**
 * Identity of one node's report of a crash. Two nodes can report the same crash; their reports have
 * the same server and incarnation.
 *
 * @param server backend server that crashed
 * @param incarnation run of the server that ended
 * @param reporter node that detected the crash
 * @param atMillis time of the report, in milliseconds since 1970
 */
public record CrashId(
    BackendServerName server, String incarnation, NodeName reporter, long atMillis)
    implements Comparable<CrashId> {

  /** Newest first, so that a bound keeps the newest. */
  private static final Comparator<CrashId> ORDER =
      Comparator.comparingLong(CrashId::atMillis)
          .reversed()
          .thenComparing(CrashId::server)
          .thenComparing(CrashId::incarnation)
          .thenComparing(CrashId::reporter);

  @Override
  public int compareTo(CrashId other) {
    return ORDER.compare(this, other);
  }
}
