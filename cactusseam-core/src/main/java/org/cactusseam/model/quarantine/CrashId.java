package org.cactusseam.model.quarantine;

import java.util.Comparator;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;

/**
 * Identity of an entry daemon's report of a crash. Two daemons can report the same crash; their
 * reports then have the same server and incarnation.
 *
 * @param server backend server that crashed
 * @param incarnation process run of the server that ended
 * @param reporter entry daemon that detected the crash
 * @param atMillis time of the report, in milliseconds since 1970
 */
public record CrashId(
    BackendServerName server, String incarnation, NodeName reporter, long atMillis)
    implements Comparable<CrashId> {

  /** The newest first, so that a size limit keeps the newest reports. */
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
