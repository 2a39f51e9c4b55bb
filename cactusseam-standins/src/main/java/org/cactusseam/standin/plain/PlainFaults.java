package org.cactusseam.standin.plain;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults of a simulated plain service. */
public record PlainFaults(
    @OptionDescription("receive requests but answer nothing") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("additional time of an execution, in milliseconds") long slowMs,
    @OptionDescription("crash once after this time, in milliseconds; -1: never") long crashAfterMs,
    @OptionDescription("turn cold once after this time, for the length of a cold phase; -1: never")
        long coldAfterMs,
    @OptionDescription("crash at this many requests before they are executed; -1: all")
        int crashBeforeExecutions,
    @OptionDescription("crash at this many requests after they were executed; -1: all")
        int crashAfterExecutions,
    @OptionDescription("drop the connection instead of this many answers; -1: all") int loseAnswers)
    implements Faults {

  /** No fault occurs. */
  public static final PlainFaults NONE = new PlainFaults(false, 0, 0, -1, -1, 0, 0, 0);
}
