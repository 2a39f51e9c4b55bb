package org.cactusseam.standin.engine;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults of a simulated engine, which tests change at run time. */
public record EngineFaults(
    @OptionDescription("accept requests without answering them, and generate nothing") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("crash once after this time, in milliseconds; -1: never") long crashAfterMs,
    @OptionDescription(
            "enter the cold-start phase once after this time, without a crash or restart, in milliseconds; -1: never")
        long coldAfterMs,
    @OptionDescription("generate nothing, but answer requests") boolean stall,
    @OptionDescription(
            "crash when a request whose prompt contains this text enters the batch; empty: never")
        String crashText,
    @OptionDescription("staleness of load reports, in milliseconds") long loadLagMs,
    @OptionDescription("delay before cache events are published, in milliseconds")
        long cacheEventLagMs,
    @OptionDescription("omit cache events whose number is a multiple of this; 0: none")
        int cacheEventGapEvery,
    @OptionDescription("accept stale fencing numbers") boolean ignoreFencing,
    @OptionDescription("replay this many already sent tokens when a stream is resumed")
        int resumeReplayTokens,
    @OptionDescription("omit the token of this index until the stream is resumed; -1: none")
        int dropTokenIndex,
    @OptionDescription(
            "reset the connection instead of answering this many orders, which take effect; -1: all")
        int loseOrderAnswers)
    implements Faults {

  /** Settings with all faults disabled. */
  public static final EngineFaults NONE =
      new EngineFaults(false, 0, -1, -1, false, "", 0, 0, 0, false, 0, -1, 0);
}
