package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.model.gateway.GatewayRoute;

/**
 * Decides when a stream that delivers no events is considered broken although its connection is
 * still open.
 *
 * <p>That an engine is unreachable does not prove that it stopped: a leaving engine refuses new
 * connections while it finishes its runs, and a network partition may heal. A stream is therefore
 * never ended while events arrive. A silent stream is ended early only if it can continue at
 * another engine, and otherwise when its caller has given up.
 */
public final class StreamStallDetector {

  /**
   * Time without events after which the engine is probed. Seven times the maximum event gap of a
   * stream that is on time, and below the gap after which callers give up.
   */
  static final Duration PROBE_AFTER = Duration.ofMillis(1_200);

  /**
   * Callers give up after the longest of this time and the multiples of target latency and event
   * gap.
   */
  private static final Duration MIN_CALLER_TIMEOUT = Duration.ofSeconds(2);

  private static final int CALLER_TIMEOUT_TARGET_LATENCIES = 4;
  private static final int CALLER_TIMEOUT_EVENT_GAPS = 8;

  private final Duration callerTimeout;
  private Instant lastActivityAt;
  private Instant lastProbeAt;

  /** Creates the detector of a stream whose request is sent now. */
  public StreamStallDetector(GatewayRoute route, Instant now) {
    this.callerTimeout =
        max(
            MIN_CALLER_TIMEOUT,
            max(
                route.targetLatency().multipliedBy(CALLER_TIMEOUT_TARGET_LATENCIES),
                route.maximumEventGap().multipliedBy(CALLER_TIMEOUT_EVENT_GAPS)));
    this.lastActivityAt = now;
    this.lastProbeAt = now;
  }

  private static Duration max(Duration one, Duration other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  /** Records that the engine has sent data. */
  public void recordActivity(Instant now) {
    lastActivityAt = now;
  }

  /**
   * Returns whether the engine is due to be probed, and if so records the probe.
   *
   * @return whether both the last data and the last probe are at least {@link #PROBE_AFTER} old
   */
  public boolean tryStartProbe(Instant now) {
    boolean due =
        lastActivityAt.plus(PROBE_AFTER).isBefore(now)
            && !lastProbeAt.plus(PROBE_AFTER).isAfter(now);
    if (due) {
      lastProbeAt = now;
    }
    return due;
  }

  /**
   * Returns whether the stream is considered broken, given that its engine is unreachable.
   *
   * @param canContinue whether the run can continue at another engine
   * @return whether it has been silent for longer than the timeout
   */
  public boolean isTimedOut(boolean canContinue, Instant now) {
    return lastActivityAt.plus(canContinue ? PROBE_AFTER : callerTimeout).isBefore(now);
  }
}
