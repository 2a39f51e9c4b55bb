package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Decides what the events of a stream show about a crash of its server.
 *
 * <p>A request may crash each server that begins to answer it, before or shortly after the first
 * event. The first event alone therefore does not show that the request is harmless, and a stream
 * that breaks off shortly after it may be the cause. A server runs many streams at once, and most
 * of them began longer ago: its crash says nothing about these.
 */
public final class StreamOnset {

  /**
   * Time after the first event in which a request may crash its server. Two to three times the
   * maximum event gap of a stream that is on time, and a small part of the time that streams last.
   */
  static final Duration DURATION = Duration.ofMillis(500);

  private @Nullable Instant firstEventAt;
  private boolean survived;

  /**
   * Records that the server has sent an event.
   *
   * @param now time of the event
   * @return whether this is the first event that shows that the server has survived the request
   */
  public boolean recordEvent(Instant now) {
    if (firstEventAt == null) {
      firstEventAt = now;
    }
    return !survived && !isWithinOnset(now) && recordSurvival();
  }

  /**
   * Records that the server has ended the stream normally.
   *
   * @return whether this is the first sign that the server has survived the request
   */
  public boolean recordEnd() {
    return hasBegun() && !survived && recordSurvival();
  }

  private boolean recordSurvival() {
    survived = true;
    return true;
  }

  /** Returns whether the server has sent an event. */
  public boolean hasBegun() {
    return firstEventAt != null;
  }

  /**
   * Returns whether the request may be the cause if its server crashes now.
   *
   * @param now time at which the stream broke off
   * @return whether no event has arrived, or the first one at most {@link #DURATION} ago
   */
  public boolean isSuspect(Instant now) {
    return isWithinOnset(now);
  }

  private boolean isWithinOnset(Instant now) {
    return firstEventAt == null || !firstEventAt.plus(DURATION).isBefore(now);
  }
}
