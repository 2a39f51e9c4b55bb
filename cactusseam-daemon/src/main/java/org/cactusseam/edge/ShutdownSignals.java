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
 * Shuts the daemon down when the process receives SIGTERM or SIGINT. The signals are handled here
 * because a shutdown hook of the runtime runs only once and cannot detect a second signal, on which
 * open requests are interrupted, nor the third, on which the process exits at once.
 */
final class ShutdownSignals {

  private static final StructuredLog LOG = StructuredLog.of(ShutdownSignals.class);
  private static final long TICK_INTERVAL_MILLIS = 50;

  private final EntryDaemon daemon;
  private final ControlPlane controlPlane;
  private final ActiveRequests activeRequests;
  private final ShutdownCoordinator coordinator;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private boolean leaveReported;
  private boolean ticking;

  ShutdownSignals(EntryDaemon daemon) {
    this.daemon = daemon;
    this.controlPlane = daemon.controlPlane();
    this.activeRequests = daemon.activeRequests();
    this.coordinator =
        new ShutdownCoordinator(
            new ShutdownSettings(
                daemon.settings().shutdown().grace(), daemon.settings().shutdown().drain()),
            daemon.clock());
    Signal.handle(new Signal("TERM"), signal -> onSignal());
    Signal.handle(new Signal("INT"), signal -> onSignal());
  }

  void awaitStopped() {
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void onSignal() {
    LOG.info("signal_received", field("open_requests", activeRequests.size()));
    controlPlane.run(
        () -> {
          if (!ticking) {
            ticking = true;
            daemon.vertx().setPeriodic(TICK_INTERVAL_MILLIS, timer -> controlPlane.run(this::tick));
          }
          coordinator.signalReceived();
          performActions();
        });
  }

  private void tick() {
    coordinator.logAvailabilityChanged(controlPlane.isLogAvailable());
    coordinator.openRequestsChanged(activeRequests.countOpen());
    coordinator.handoverRemaining(controlPlane.unreleasedShards(), 0);
    if (controlPlane.hasLeft() && !leaveReported) {
      leaveReported = true;
      coordinator.leaveRecorded();
    }
    coordinator.tick();
    performActions();
  }

  private void performActions() {
    for (ShutdownAction action : coordinator.drain()) {
      LOG.info("shutdown_step", field("action", action.getClass().getSimpleName()));
      switch (action) {
        case ShutdownAction.FailReadiness fail ->
            daemon.setReadiness(EntryDaemon.Readiness.LEAVING);
        case ShutdownAction.HandOver handOver -> controlPlane.leave();
        case ShutdownAction.RefuseNew refuse -> daemon.setReadiness(EntryDaemon.Readiness.CLOSED);
        case ShutdownAction.RefuseWaiting refuse -> activeRequests.refuseWaiting();
        case ShutdownAction.AskToResume ask -> activeRequests.handOverAll();
        case ShutdownAction.AnswerUncertain answer -> activeRequests.endUnresumable();
        case ShutdownAction.Exit exit -> daemon.stop().onComplete(done -> stopped.countDown());
      }
    }
  }
}
