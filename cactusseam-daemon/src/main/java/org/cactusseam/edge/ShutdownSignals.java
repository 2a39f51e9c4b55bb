package org.cactusseam.edge;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;
import sun.misc.Signal;

/**
 * Shuts the daemon down in order on the first termination signal and at once on the second.
 * Shutdown hooks of the runtime cannot tell the second signal from the first.
 */
final class ShutdownSignals {

  private static final Logger LOG = Logger.getLogger(ShutdownSignals.class);
  private static final Duration LAST_WRITES = Duration.ofMillis(500);
  private static final long CHECK_MILLIS = 100;

  /**
   * While the log is out, or with no successor in the region, leaving does not complete. Exiting
   * without it costs only the time in which the other daemons notice the refused connections.
   */
  private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(5);

  private final EntryDaemon daemon;
  private final CountDownLatch end = new CountDownLatch(1);
  private final AtomicInteger signals = new AtomicInteger();

  ShutdownSignals(EntryDaemon daemon) {
    this.daemon = daemon;
    Signal.handle(new Signal("TERM"), signal -> received());
    Signal.handle(new Signal("INT"), signal -> received());
  }

  void awaitEnd() {
    try {
      end.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void received() {
    int count = signals.incrementAndGet();
    LOG.infof(
        "event=signal_received count=%d open_requests=%d", (Object) count, daemon.active().size());
    if (count == 1) {
      leave();
    } else {
      exit();
    }
  }

  private void leave() {
    daemon.setReadiness(EntryDaemon.Readiness.LEAVING);
    daemon.control().leave();
    long grace = Math.max(1, daemon.settings().shutdown().grace().toMillis());
    daemon.vertx().setTimer(grace, timer -> drain());
  }

  private void drain() {
    daemon.setReadiness(EntryDaemon.Readiness.CLOSED);
    long drain = Math.max(1, daemon.settings().shutdown().drain().toMillis());
    daemon.vertx().setTimer(drain, timer -> daemon.active().handOverAll());
    long leaveDeadline = System.nanoTime() + LEAVE_TIMEOUT.toNanos();
    daemon
        .vertx()
        .setPeriodic(
            CHECK_MILLIS,
            timer -> {
              boolean left = daemon.control().hasLeft() || System.nanoTime() - leaveDeadline > 0;
              if (daemon.active().size() == 0 && left) {
                daemon.vertx().cancelTimer(timer);
                exit();
              }
            });
  }

  /** Asks the callers of all streams to resume elsewhere, and exits when that is written. */
  private void exit() {
    daemon.setReadiness(EntryDaemon.Readiness.CLOSED);
    daemon.active().handOverAll();
    daemon
        .vertx()
        .setTimer(
            LAST_WRITES.toMillis(), timer -> daemon.stop().onComplete(done -> end.countDown()));
  }
}
