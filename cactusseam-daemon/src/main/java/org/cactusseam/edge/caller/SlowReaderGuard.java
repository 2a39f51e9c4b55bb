package org.cactusseam.edge.caller;

import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * Closes the connection of a caller that does not read, so that its buffer and its place in the
 * engine are not held for ever. The caller can resume the stream.
 */
final class SlowReaderGuard {

  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final Duration timeout;
  private final Runnable close;
  private long timer = NO_TIMER;

  SlowReaderGuard(Vertx vertx, Duration timeout, Runnable close) {
    this.vertx = vertx;
    this.timeout = timeout;
    this.close = close;
  }

  /** The buffer of the caller is full. */
  void full() {
    if (timer == NO_TIMER) {
      timer = vertx.setTimer(timeout.toMillis(), ignored -> close.run());
    }
  }

  /** The caller has read enough, or the answer has ended. */
  void drained() {
    vertx.cancelTimer(timer);
    timer = NO_TIMER;
  }
}
