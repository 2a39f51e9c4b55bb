package org.cactusseam.standin.plain;

import org.cactusseam.standin.Description;

/** Settings of a simulated plain service that do not change at run time. */
public record PlainOptions(
    @Description("time of an execution, in milliseconds") long serviceMs,
    @Description("executions at once; more requests wait") int workers,
    @Description("length of the cold phase after a start, in milliseconds") long coldMs,
    @Description("requests at once that a cold service can handle; one more crashes it")
        int coldLimit,
    @Description("time from a crash to the new incarnation, in milliseconds") long restartMs) {

  /** A fast service that starts warm. */
  public static final PlainOptions DEFAULTS = new PlainOptions(5, 16, 0, 2, 2000);
}
