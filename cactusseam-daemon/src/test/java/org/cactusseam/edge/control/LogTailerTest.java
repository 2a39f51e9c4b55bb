package org.cactusseam.edge.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusseam.edge.platform.AppendOnlyLog;
import org.cactusseam.edge.platform.LogPage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a log that is never read again after one read that ends in an unusual way. */
class LogTailerTest {

  /** Covers several retries, one every 250 ms. */
  private static final long READING_MILLIS = 1_500;

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger reads = new AtomicInteger();
  private final AtomicInteger pages = new AtomicInteger();

  /** What goes wrong in the first read. */
  enum Fault {
    READ_CANNOT_BE_SENT,
    LISTENER_FAILS_ON_FAILED_READ,
    LISTENER_FAILS_ON_PAGE
  }

  private final class FaultyLog implements AppendOnlyLog {

    private final Fault fault;

    FaultyLog(Fault fault) {
      this.fault = fault;
    }

    @Override
    public Future<Long> append(String stream, String record) {
      return Future.failedFuture("not used by the test");
    }

    @Override
    public Future<LogPage> read(String stream, long offset, int limit, Duration wait) {
      boolean isFirst = reads.incrementAndGet() == 1;
      if (isFirst && fault == Fault.READ_CANNOT_BE_SENT) {
        throw new IllegalStateException("simulated");
      }
      return isFirst && fault == Fault.LISTENER_FAILS_ON_FAILED_READ
          ? Future.failedFuture("simulated")
          : vertx
              .timer(10, TimeUnit.MILLISECONDS)
              .map(elapsed -> new LogPage(List.of(), offset, offset));
    }
  }

  private final class FaultyListener implements LogTailer.Listener {

    private final Fault fault;

    FaultyListener(Fault fault) {
      this.fault = fault;
    }

    @Override
    public void onPage(Instant sentAt, LogPage page) {
      if (pages.incrementAndGet() == 1 && fault == Fault.LISTENER_FAILS_ON_PAGE) {
        throw new IllegalStateException("simulated");
      }
    }

    @Override
    public void onReadFailed() {
      if (fault == Fault.LISTENER_FAILS_ON_FAILED_READ) {
        throw new IllegalStateException("simulated");
      }
    }
  }

  @AfterEach
  void close() {
    vertx.close().await();
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void the_log_is_read_on(Fault fault) {
    LogTailer tailer =
        new LogTailer(
            vertx,
            Clock.systemUTC(),
            new FaultyLog(fault),
            "control",
            () -> 0,
            new FaultyListener(fault));

    vertx.runOnContext(ignored -> tailer.start());
    vertx.timer(READING_MILLIS, TimeUnit.MILLISECONDS).await();

    assertThat(pages.get(), greaterThan(2));
  }
}
