package org.cactusseam.standin.log;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults and limits of a simulated log. */
public record LogFaults(
    @OptionDescription("receive requests but answer nothing") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("answer 503 to every request, without effect") boolean outage,
    @OptionDescription("delay of every answer, in milliseconds") long slowMs,
    @OptionDescription("drop the connection after this many appends took effect; -1: all")
        int loseAppendAnswers,
    @OptionDescription("answer 500 to this many appends, without effect; -1: all") int failAppends,
    @OptionDescription("drop the connection at this many appends, which take effect later; -1: all")
        int lateAppends,
    @OptionDescription("time until a late append takes effect, in milliseconds") long lateAppendMs,
    @OptionDescription("age at which records are removed, in milliseconds; 0: kept")
        long retentionMs,
    @OptionDescription("records kept in each stream; 0: all") int retentionRecords,
    @OptionDescription("appends per second over all streams, more get 429; 0: no bound")
        double appendsPerSecond)
    implements Faults {

  /** No fault occurs and nothing is limited. */
  public static final LogFaults NONE = new LogFaults(false, 0, false, 0, 0, 0, 0, 0, 0, 0, 0);
}
