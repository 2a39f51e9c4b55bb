package org.cactusseam.standin.engine;

import org.cactusseam.standin.Description;
import org.cactusseam.standin.Faults;

/** Faults of a simulated engine. */
public record EngineFaults(
    @Description("receive requests but answer nothing, and compute nothing") boolean hang,
    @Description("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @Description("crash once after this time, in milliseconds; -1: never") long crashAfterMs,
    @Description("turn cold once after this time without a message, in milliseconds; -1: never")
        long coldAfterMs,
    @Description("compute nothing, but answer") boolean stall,
    @Description("crash when a prompt that contains this text starts to run; empty: never")
        String crashText,
    @Description("age of load reports, in milliseconds") long loadLagMs,
    @Description("delay of cache events, in milliseconds") long cacheEventLagMs,
    @Description("lose each cache event whose number is a multiple of this; 0: none")
        int cacheEventGapEvery,
    @Description("accept old fencing numbers") boolean ignoreFencing,
    @Description("send this number of already sent tokens again at a resume")
        int resumeReplayTokens,
    @Description("send the token of this index only at a resume; -1: none") int dropTokenIndex,
    @Description("drop the connection instead of answering this many orders; -1: all")
        int loseOrderAnswers)
    implements Faults {

  /** No fault occurs. */
  public static final EngineFaults NONE =
      new EngineFaults(false, 0, -1, -1, false, "", 0, 0, 0, false, 0, -1, 0);
}
