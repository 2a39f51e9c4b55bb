package org.cactusseam.edge;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.util.concurrent.CountDownLatch;
import org.cactusseam.edge.caller.ActiveRequests;
import org.cactusseam.edge.control.ControlPlane;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.shutdown.ShutdownAction;
import org.cactusseam.logic.shutdown.ShutdownCoordinator;
import org.cactusseam.logic.shutdown.ShutdownSettings;
import sun.misc.Signal;

/**
 * Runs the shutdown of the daemon on termination signals. Shutdown hooks of the runtime cannot tell
 * the second signal from the first, so the signals are handled here.
 */
final class ShutdownSignals {

  private static final StructuredLog LOG = StructuredLog.of(ShutdownSignals.class);
  private static final long TICK_MILLIS = 50;

  private final EntryDaemon daemon;
  private final ControlPlane control;
  private final ActiveRequests active;
  private final ShutdownCoordinator coordinator;
  private final CountDownLatch end = new CountDownLatch(1);
  private boolean leaveReported;
  private boolean ticking;

  ShutdownSignals(EntryDaemon daemon) {
    this.daemon = daemon;
    this.control = daemon.control();
    this.active = daemon.active();
    this.coordinator =
        new ShutdownCoordinator(
            new ShutdownSettings(
                daemon.settings().shutdown().grace(), daemon.settings().shutdown().drain()),
            daemon.clock());
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
    LOG.info("signal_received", field("open_requests", active.size()));
    control.run(
        () -> {
          if (!ticking) {
            ticking = true;
            daemon.vertx().setPeriodic(TICK_MILLIS, timer -> control.run(this::tick));
          }
          coordinator.signalReceived();
          perform();
        });
  }

  private void tick() {
    coordinator.logAvailabilityChanged(control.isLogAvailable());
    coordinator.openRequestsChanged(active.countOpen());
    coordinator.handoverRemaining(control.unreleasedShards(), 0);
    if (control.hasLeft() && !leaveReported) {
      leaveReported = true;
      coordinator.leaveRecorded();
    }
    coordinator.tick();
    perform();
  }

  private void perform() {
    for (ShutdownAction action : coordinator.drain()) {
      LOG.info("shutdown_step", field("action", action.getClass().getSimpleName()));
      switch (action) {
        case ShutdownAction.FailReadiness fail ->
            daemon.setReadiness(EntryDaemon.Readiness.LEAVING);
        case ShutdownAction.HandOver handOver -> control.leave();
        case ShutdownAction.RefuseNew refuse -> daemon.setReadiness(EntryDaemon.Readiness.CLOSED);
        case ShutdownAction.RefuseWaiting refuse -> active.refuseWaiting();
        case ShutdownAction.AskToResume ask -> active.handOverAll();
        case ShutdownAction.AnswerUncertain answer -> active.endUnresumable();
        case ShutdownAction.Exit exit -> daemon.stop().onComplete(done -> end.countDown());
      }
    }
  }
}
