package org.cactusseam.edge.caller;

import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * Closes the connection of a caller whose write queue stays full for the timeout, so that a caller
 * that does not read cannot hold its buffer and its engine slot forever. The caller can resume the
 * stream.
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

  /** Starts the timeout when the write queue of the caller is full, unless it is running. */
  void startTimeout() {
    if (timer == NO_TIMER) {
      timer = vertx.setTimer(timeout.toMillis(), ignored -> close.run());
    }
  }

  /** Stops the timeout, because the write queue has drained or the response has ended. */
  void cancelTimeout() {
    vertx.cancelTimer(timer);
    timer = NO_TIMER;
  }
}
