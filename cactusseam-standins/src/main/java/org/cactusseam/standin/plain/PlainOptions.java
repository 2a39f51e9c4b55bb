package org.cactusseam.standin.plain;

import org.cactusseam.standin.OptionDescription;

/** Settings of a simulated plain service that do not change at run time. */
public record PlainOptions(
    @OptionDescription("time of an execution, in milliseconds") long serviceMs,
    @OptionDescription("executions at once; more requests wait") int workers,
    @OptionDescription("length of the cold phase after a start, in milliseconds") long coldMs,
    @OptionDescription("requests at once that a cold service can handle; one more crashes it")
        int coldLimit,
    @OptionDescription("time from a crash to the new incarnation, in milliseconds")
        long restartMs) {

  /** A fast service that starts warm. */
  public static final PlainOptions DEFAULTS = new PlainOptions(5, 16, 0, 2, 2000);
}
