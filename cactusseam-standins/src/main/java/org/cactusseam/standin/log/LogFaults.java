package org.cactusseam.standin.log;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults and limits of a simulated log, which tests change at run time. */
public record LogFaults(
    @OptionDescription("accept requests without answering them") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("answer every request with 503 and do not execute it") boolean outage,
    @OptionDescription("delay of every response, in milliseconds") long slowMs,
    @OptionDescription(
            "execute this many appends but reset the connection instead of answering; -1: all")
        int loseAppendAnswers,
    @OptionDescription("answer this many appends with 500 and do not execute them; -1: all")
        int failAppends,
    @OptionDescription("reset the connection of this many appends and execute them later; -1: all")
        int lateAppends,
    @OptionDescription("delay of late appends, in milliseconds") long lateAppendMs,
    @OptionDescription("age at which records are removed, in milliseconds; 0: never")
        long retentionMs,
    @OptionDescription("maximum number of records kept per stream; 0: unlimited")
        int retentionRecords,
    @OptionDescription(
            "appends per second over all streams, beyond which 429 is answered; 0: unlimited")
        double appendsPerSecond)
    implements Faults {

  /** Settings with all faults and limits disabled. */
  public static final LogFaults NONE = new LogFaults(false, 0, false, 0, 0, 0, 0, 0, 0, 0, 0);
}
