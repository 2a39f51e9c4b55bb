package org.cactusseam.standin.engine;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults of a simulated engine. */
public record EngineFaults(
    @OptionDescription("receive requests but answer nothing, and compute nothing") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("crash once after this time, in milliseconds; -1: never") long crashAfterMs,
    @OptionDescription(
            "turn cold once after this time without a message, in milliseconds; -1: never")
        long coldAfterMs,
    @OptionDescription("compute nothing, but answer") boolean stall,
    @OptionDescription("crash when a prompt that contains this text starts to run; empty: never")
        String crashText,
    @OptionDescription("age of load reports, in milliseconds") long loadLagMs,
    @OptionDescription("delay of cache events, in milliseconds") long cacheEventLagMs,
    @OptionDescription("lose each cache event whose number is a multiple of this; 0: none")
        int cacheEventGapEvery,
    @OptionDescription("accept old fencing numbers") boolean ignoreFencing,
    @OptionDescription("send this number of already sent tokens again at a resume")
        int resumeReplayTokens,
    @OptionDescription("send the token of this index only at a resume; -1: none")
        int dropTokenIndex,
    @OptionDescription("drop the connection instead of answering this many orders; -1: all")
        int loseOrderAnswers)
    implements Faults {

  /** No fault occurs. */
  public static final EngineFaults NONE =
      new EngineFaults(false, 0, -1, -1, false, "", 0, 0, 0, false, 0, -1, 0);
}
