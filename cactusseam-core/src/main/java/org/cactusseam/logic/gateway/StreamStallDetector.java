package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.model.gateway.GatewayRoute;

/**
 * Decides when a stream that brings no events is taken as ended although its connection is open.
 *
 * <p>An engine that cannot be reached proves little: one that leaves refuses new connections while
 * it finishes its runs, and a cut may end. A stream is therefore never ended while events arrive. A
 * silent one is given up early only if it can go on elsewhere, otherwise when its caller has left.
 */
public final class StreamStallDetector {

  /**
   * Silence after which the engine is asked whether it lives. Seven times the longest pause of a
   * stream on time (SYSTEM page), and below the gap after which callers leave.
   */
  static final Duration ASK_AFTER = Duration.ofMillis(1_200);

  /** Callers leave after the longest of these gaps (PROTOCOL page). */
  private static final Duration SHORTEST_CALLER_GAP = Duration.ofSeconds(2);

  private static final int CALLER_GAP_TARGETS = 4;
  private static final int CALLER_GAP_PAUSES = 8;

  private final Duration callerGap;
  private Instant heardAt;
  private Instant askedAt;

  /**
   * Creates the state of a stream that is sent now.
   *
   * @param route its route
   * @param now time
   */
  public StreamStallDetector(GatewayRoute route, Instant now) {
    this.callerGap =
        longest(
            SHORTEST_CALLER_GAP,
            longest(
                route.targetLatency().multipliedBy(CALLER_GAP_TARGETS),
                route.maximumEventGap().multipliedBy(CALLER_GAP_PAUSES)));
    this.heardAt = now;
    this.askedAt = now;
  }

  private static Duration longest(Duration one, Duration other) {
    return one.compareTo(other) >= 0 ? one : other;
  }

  /**
   * The engine has sent something.
   *
   * @param now time
   */
  public void recordActivity(Instant now) {
    heardAt = now;
  }

  /**
   * Returns whether to ask the engine for a sign of life, and counts it as asked.
   *
   * @param now time
   * @return whether the stream is silent and the last question is old
   */
  public boolean tryStartProbe(Instant now) {
    boolean due = heardAt.plus(ASK_AFTER).isBefore(now) && !askedAt.plus(ASK_AFTER).isAfter(now);
    if (due) {
      askedAt = now;
    }
    return due;
  }

  /**
   * Returns whether the stream is taken as ended, its engine being unreachable.
   *
   * @param canContinue whether it can go on at another engine
   * @param now time
   * @return whether it has been silent for too long
   */
  public boolean isTimedOut(boolean canContinue, Instant now) {
    return heardAt.plus(canContinue ? ASK_AFTER : callerGap).isBefore(now);
  }
}
