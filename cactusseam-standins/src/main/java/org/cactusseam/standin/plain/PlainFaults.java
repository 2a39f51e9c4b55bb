package org.cactusseam.standin.plain;

import org.cactusseam.standin.Description;
import org.cactusseam.standin.Faults;

/** Faults of a simulated plain service. */
public record PlainFaults(
    @Description("receive requests but answer nothing") boolean hang,
    @Description("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @Description("additional time of an execution, in milliseconds") long slowMs,
    @Description("crash once after this time, in milliseconds; -1: never") long crashAfterMs,
    @Description("turn cold once after this time, for the length of a cold phase; -1: never")
        long coldAfterMs,
    @Description("crash at this many requests before they are executed; -1: all")
        int crashBeforeExecutions,
    @Description("crash at this many requests after they were executed; -1: all")
        int crashAfterExecutions,
    @Description("drop the connection instead of this many answers; -1: all") int loseAnswers)
    implements Faults {

  /** No fault occurs. */
  public static final PlainFaults NONE = new PlainFaults(false, 0, 0, -1, -1, 0, 0, 0);
}
