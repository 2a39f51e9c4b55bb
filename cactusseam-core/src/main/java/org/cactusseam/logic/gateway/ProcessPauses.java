package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Detects pauses of this process by gaps in its periodic work. A response that arrived during a
 * pause is read after it: its age is unknown, and the duration of its request includes the pause.
 */
public final class ProcessPauses {

  /**
   * Gap from which the process counts as paused: five times the interval of the periodic work (50
   * ms), so that one slow callback does not count.
   */
  private static final Duration MIN_PAUSE = Duration.ofMillis(250);

  private Instant lastTick;
  private Instant pauseEnd = Instant.MIN;

  /** Creates a detector whose first interval starts now. */
  public ProcessPauses(Instant now) {
    lastTick = now;
  }

  /**
   * Called by the periodic work.
   *
   * @return length of the pause that has just ended; empty if there was none
   */
  public Optional<Duration> tick(Instant now) {
    Duration gap = Duration.between(lastTick, now);
    boolean isPause = detect(now);
    lastTick = now;
    return isPause ? Optional.of(gap) : Optional.empty();
  }

  /**
   * Returns whether a request was sent before the end of a pause. Responses can be read after the
   * pause before the periodic work runs again, so that the gap is checked here as well.
   */
  public boolean isAffected(Instant sentAt, Instant now) {
    detect(now);
    return sentAt.isBefore(pauseEnd);
  }

  private boolean detect(Instant now) {
    boolean isPause = Duration.between(lastTick, now).compareTo(MIN_PAUSE) > 0;
    if (isPause) {
      pauseEnd = now;
    }
    return isPause;
  }
}
