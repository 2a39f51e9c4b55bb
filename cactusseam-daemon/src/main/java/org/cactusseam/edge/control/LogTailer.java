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

/** Reads one stream of the log for ever, by long polls. */
final class LogTailer {

  /** What the reader of a stream hears; called on the thread that started the tailer. */
  interface Listener {

    /**
     * A read was answered.
     *
     * @param sentAt when the read was sent
     * @param page records
     */
    void read(Instant sentAt, LogPage page);

    /** A read failed. */
    void failed();
  }

  private static final StructuredLog LOG = StructuredLog.of(LogTailer.class);
  private static final int PAGE_LIMIT = 500;

  /** Shorter than the lease, so that an idle log still proves freshness in time. */
  private static final Duration WAIT = Duration.ofMillis(800);

  private static final long RETRY_MILLIS = 250;

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
    log.read(stream, nextOffset.getAsLong(), PAGE_LIMIT, WAIT)
        .onSuccess(page -> succeeded(sentAt, page))
        .onFailure(this::failed);
  }

  private void succeeded(Instant sentAt, LogPage page) {
    if (failing) {
      failing = false;
      LOG.info("log_read_again", field("stream", stream));
    }
    try {
      listener.read(sentAt, page);
    } finally {
      // A fault in the listener must not end the reading of the log.
      vertx.runOnContext(ignored -> poll());
    }
  }

  private void failed(Throwable cause) {
    if (!failing) {
      failing = true;
      LOG.warn("log_unreadable", field("stream", stream), field("cause", cause.getMessage()));
    }
    listener.failed();
    vertx.setTimer(RETRY_MILLIS, timer -> poll());
  }
}
