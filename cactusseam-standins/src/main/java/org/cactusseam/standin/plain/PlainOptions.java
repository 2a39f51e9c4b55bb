package org.cactusseam.standin.plain;

import org.cactusseam.standin.OptionDescription;

/** Settings of a simulated plain service that are fixed at its start. */
public record PlainOptions(
    @OptionDescription("duration of an execution, in milliseconds") long serviceMs,
    @OptionDescription("concurrent executions; further requests are queued") int workers,
    @OptionDescription("duration of the cold-start phase, in milliseconds") long coldMs,
    @OptionDescription("concurrent requests that a cold service can handle; one more crashes it")
        int coldLimit,
    @OptionDescription("time from a crash to the restart as a new incarnation, in milliseconds")
        long restartMs) {

  /** Defaults: a fast service without a cold-start phase. */
  public static final PlainOptions DEFAULTS = new PlainOptions(5, 16, 0, 2, 2000);
}
