package org.cactusseam.edge;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.cactusseam.edge.caller.ActiveRequests;
import org.cactusseam.edge.caller.CallerServer;
import org.cactusseam.edge.caller.CallerServices;
import org.cactusseam.edge.caller.RequestIdGenerator;
import org.cactusseam.edge.control.ControlPlane;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.metrics.RequestMetrics;
import org.cactusseam.edge.operator.OperatorServer;
import org.cactusseam.edge.platform.HttpAppendOnlyLog;
import org.cactusseam.edge.platform.HttpVirtualMachineList;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.control.Member;
import org.jspecify.annotations.Nullable;

/**
 * Entry daemon of one VM. Starts and stops the control plane, the servers for callers and the
 * server for operators; {@code cactusseam serve} runs it.
 */
public final class EntryDaemon {

  private static final StructuredLog LOG = StructuredLog.of(EntryDaemon.class);
  private static final int RANDOM_SUFFIX_LENGTH = 4;

  /** Entry VMs are small: one event loop for the control plane and two for traffic suit them. */
  private static final int TRAFFIC_EVENT_LOOPS = 2;

  private final Settings settings;
  private final Clock clock = new SteadyClock();
  private final Vertx vertx =
      Vertx.vertx(
          new VertxOptions().setEventLoopPoolSize(TRAFFIC_EVENT_LOOPS + 1).setWorkerPoolSize(2));
  private final Member self;
  private final ActiveRequests activeRequests;
  private final RequestMetrics metrics;
  private volatile @Nullable ControlPlane controlPlane;
  private volatile Readiness readiness = Readiness.SERVING;

  /**
   * Creates a daemon; {@link #start} starts it.
   *
   * @param settings settings that were validated
   */
  public EntryDaemon(Settings settings) {
    this.settings = settings;
    String bootId = newBootId();
    this.self =
        new Member(
            settings.node(),
            bootId,
            settings.addresses().peer().host(),
            settings.addresses().peer().port(),
            settings.failureDomain(),
            settings.region());
    this.activeRequests = new ActiveRequests(settings.node(), clock);
    this.metrics = new RequestMetrics(clock);
  }

  /**
   * Returns a boot ID that sorts after those of earlier processes of this VM, by which the control
   * log distinguishes a restart from a record that arrives late.
   */
  private static String newBootId() {
    String random = UUID.randomUUID().toString().substring(0, RANDOM_SUFFIX_LENGTH);
    return String.format("%012x%s", System.currentTimeMillis(), random);
  }

  /**
   * Starts the control plane, then the server for operators, then the servers for callers.
   *
   * @return completes when all ports are open
   */
  public Future<Void> start() {
    return vertx
        .deployVerticle(new ControlVerticle())
        .compose(deployed -> deployServers())
        .onSuccess(
            ignored ->
                LOG.info(
                    "started",
                    field("node", self.node()),
                    field("boot", self.boot()),
                    field("caller", settings.addresses().caller())));
  }

  private final class ControlVerticle extends VerticleBase {
    @Override
    public Future<?> start() {
      ControlPlane plane =
          new ControlPlane(
              vertx,
              clock,
              settings,
              self,
              new HttpAppendOnlyLog(vertx, settings.platform().logUrl()),
              new HttpVirtualMachineList(vertx, settings.platform().vmListUrl()),
              activeRequests::summaries);
      controlPlane = plane;
      return plane.start();
    }
  }

  private Future<Void> deployServers() {
    ControlPlane plane = java.util.Objects.requireNonNull(controlPlane);
    CallerServices services =
        new CallerServices(
            vertx,
            clock,
            settings,
            plane::view,
            plane.admission(),
            plane.loads(),
            plane.claims(),
            activeRequests,
            new RequestIdGenerator(self.node(), self.boot()),
            metrics);
    return vertx
        .deployVerticle(new OperatorServer(settings, plane, metrics))
        .compose(deployed -> deployCallerServers(services));
  }

  private Future<Void> deployCallerServers(CallerServices services) {
    return vertx
        .deployVerticle(
            () ->
                new CallerServer(
                    services, this::refusalOfAllRequests, this::isReady, TRAFFIC_EVENT_LOOPS),
            new DeploymentOptions().setInstances(TRAFFIC_EVENT_LOOPS))
        .mapEmpty();
  }

  private Optional<Refusal> refusalOfAllRequests() {
    ControlPlane plane = controlPlane;
    if (plane == null || !plane.isReady()) {
      return Optional.of(
          new Refusal(
              ResultCode.NOT_READY,
              "this VM has not loaded the configuration yet",
              Duration.ofSeconds(1)));
    }
    if (readiness == Readiness.CLOSED) {
      return Optional.of(
          new Refusal(
              ResultCode.SHUTTING_DOWN,
              "this VM is shutting down; retry at another VM",
              Duration.ofMillis(1)));
    }
    return Optional.empty();
  }

  private boolean isReady() {
    return readiness == Readiness.SERVING && refusalOfAllRequests().isEmpty();
  }

  /**
   * Runs a daemon until a signal has shut it down.
   *
   * @param settings settings that were validated
   */
  public static void run(Settings settings) {
    EntryDaemon daemon = new EntryDaemon(settings);
    daemon.start().toCompletionStage().toCompletableFuture().join();
    new ShutdownSignals(daemon).awaitStopped();
  }

  Settings settings() {
    return settings;
  }

  Vertx vertx() {
    return vertx;
  }

  Clock clock() {
    return clock;
  }

  ActiveRequests activeRequests() {
    return activeRequests;
  }

  ControlPlane controlPlane() {
    return java.util.Objects.requireNonNull(controlPlane);
  }

  /**
   * Sets what the daemon tells callers and the load balancer about its readiness.
   *
   * @param newReadiness state from now on
   */
  void setReadiness(Readiness newReadiness) {
    readiness = newReadiness;
  }

  /** Progress of the shutdown, as far as callers and the load balancer see it. */
  enum Readiness {
    /** All requests are served and the readiness check succeeds. */
    SERVING,
    /**
     * Requests are still served, but the readiness check fails, so that the load balancer stops
     * sending new ones.
     */
    LEAVING,
    /** New requests are refused. */
    CLOSED
  }

  /**
   * Stops all servers and the control plane without waiting for open requests.
   *
   * @return completes when all ports are closed
   */
  public Future<Void> stop() {
    return vertx.close();
  }
}
