package org.cactusseam.standin.plain;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults of a simulated plain service, which tests change at run time. */
public record PlainFaults(
    @OptionDescription("accept requests without answering them") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("additional duration of each execution, in milliseconds") long slowMs,
    @OptionDescription("crash once after this time, in milliseconds; -1: never") long crashAfterMs,
    @OptionDescription("enter a cold-start phase once after this time, in milliseconds; -1: never")
        long coldAfterMs,
    @OptionDescription("crash on receipt of this many requests, before executing them; -1: all")
        int crashBeforeExecutions,
    @OptionDescription("crash after executing this many requests, before answering them; -1: all")
        int crashAfterExecutions,
    @OptionDescription(
            "execute this many requests but reset the connection instead of answering; -1: all")
        int loseAnswers)
    implements Faults {

  /** Settings with all faults disabled. */
  public static final PlainFaults NONE = new PlainFaults(false, 0, 0, -1, -1, 0, 0, 0);
}
