package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.platform.AppendOnlyLog;
import org.cactusseam.edge.platform.LogPage;

/** Follows one stream of the log by long polling until it is stopped, and retries failed reads. */
final class LogTailer {

  /** Receives the results of reads, on the event loop on which the tailer was started. */
  interface Listener {

    /**
     * Called after a successful read.
     *
     * @param sentAt when the read was sent
     * @param page records from the requested offset on; empty if none were appended before the
     *     timeout
     */
    void onPage(Instant sentAt, LogPage page);

    /** Called after a failed read. */
    void onReadFailed();
  }

  private static final StructuredLog LOG = StructuredLog.of(LogTailer.class);
  private static final int MAX_RECORDS_PER_READ = 500;

  /** Shorter than the lease, so that reads of an idle log renew the lease in time. */
  private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(800);

  private static final long RETRY_DELAY_MILLIS = 250;

  private final Vertx vertx;
  private final Clock clock;
  private final AppendOnlyLog log;
  private final String stream;
  private final LongSupplier nextOffset;
  private final Listener listener;
  private boolean failing;
  private boolean stopped;

  LogTailer(
      Vertx vertx,
      Clock clock,
      AppendOnlyLog log,
      String stream,
      LongSupplier nextOffset,
      Listener listener) {
    this.vertx = vertx;
    this.clock = clock;
    this.log = log;
    this.stream = stream;
    this.nextOffset = nextOffset;
    this.listener = listener;
  }

  void start() {
    poll();
  }

  void stop() {
    stopped = true;
  }

  private void poll() {
    if (stopped) {
      return;
    }
    Instant sentAt = clock.instant();
    try {
      log.read(stream, nextOffset.getAsLong(), MAX_RECORDS_PER_READ, LONG_POLL_TIMEOUT)
          .onSuccess(page -> onReadSucceeded(sentAt, page))
          .onFailure(this::onReadFailed);
    } catch (RuntimeException e) {
      // A read that cannot be sent is repeated like one that fails.
      onReadFailed(e);
    }
  }

  private void onReadSucceeded(Instant sentAt, LogPage page) {
    if (failing) {
      failing = false;
      LOG.info("log_read_again", field("stream", stream));
    }
    try {
      listener.onPage(sentAt, page);
    } finally {
      // Continue from the event loop, also after an exception in the listener.
      vertx.runOnContext(ignored -> poll());
    }
  }

  private void onReadFailed(Throwable cause) {
    if (!failing) {
      failing = true;
      LOG.warn("log_unreadable", field("stream", stream), field("cause", cause.getMessage()));
    }
    // The next read comes first, so that nothing that the listener does can prevent it.
    vertx.setTimer(RETRY_DELAY_MILLIS, timer -> poll());
    listener.onReadFailed();
  }
}
