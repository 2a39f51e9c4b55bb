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

/** The entry daemon as a library: everything that {@code cactusseam serve} runs. */
public final class EntryDaemon {

  private static final StructuredLog LOG = StructuredLog.of(EntryDaemon.class);
  private static final int RANDOM_CHARACTERS = 4;

  /** Entry VMs are small; one control thread and this many traffic threads fit them. */
  private static final int TRAFFIC_THREADS = 2;

  private final Settings settings;
  private final Clock clock = new SteadyClock();
  private final Vertx vertx =
      Vertx.vertx(
          new VertxOptions().setEventLoopPoolSize(TRAFFIC_THREADS + 1).setWorkerPoolSize(2));
  private final Member self;
  private final ActiveRequests active;
  private final RequestMetrics metrics;
  private volatile @Nullable ControlPlane control;
  private volatile Readiness readiness = Readiness.SERVING;

  /**
   * Creates a daemon that is not started.
   *
   * @param settings checked settings
   */
  public EntryDaemon(Settings settings) {
    this.settings = settings;
    String boot = newBoot();
    this.self =
        new Member(
            settings.node(),
            boot,
            settings.addresses().peer().host(),
            settings.addresses().peer().port(),
            settings.failureDomain(),
            settings.region());
    this.active = new ActiveRequests(settings.node(), clock);
    this.metrics = new RequestMetrics(clock);
  }

  /**
   * Later runs get a greater text, which is how the control log tells a restart from a late copy.
   */
  private static String newBoot() {
    String random = UUID.randomUUID().toString().substring(0, RANDOM_CHARACTERS);
    return String.format("%012x%s", System.currentTimeMillis(), random);
  }

  /**
   * Starts all parts.
   *
   * @return completes when all ports are open
   */
  public Future<Void> start() {
    return vertx
        .deployVerticle(new ControlVerticle())
        .compose(deployed -> deployTraffic())
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
              active::summaries);
      control = plane;
      return plane.start();
    }
  }

  private Future<Void> deployTraffic() {
    ControlPlane plane = java.util.Objects.requireNonNull(control);
    CallerServices services =
        new CallerServices(
            vertx,
            clock,
            settings,
            plane::view,
            plane.admission(),
            plane.loads(),
            plane.claims(),
            active,
            new RequestIdGenerator(self.node(), self.boot()),
            metrics);
    return vertx
        .deployVerticle(new OperatorServer(settings, plane, metrics))
        .compose(deployed -> deployCallers(services));
  }

  private Future<Void> deployCallers(CallerServices services) {
    return vertx
        .deployVerticle(
            () -> new CallerServer(services, this::refusalOfAll, this::isReady),
            new DeploymentOptions().setInstances(TRAFFIC_THREADS))
        .mapEmpty();
  }

  private Optional<Refusal> refusalOfAll() {
    ControlPlane plane = control;
    if (plane == null || !plane.isReady()) {
      return Optional.of(
          new Refusal(
              ResultCode.NOT_READY, "this VM has no configuration yet", Duration.ofSeconds(1)));
    }
    if (readiness == Readiness.CLOSED) {
      return Optional.of(
          new Refusal(
              ResultCode.SHUTTING_DOWN,
              "this VM shuts down; another one serves",
              Duration.ofMillis(1)));
    }
    return Optional.empty();
  }

  private boolean isReady() {
    return readiness == Readiness.SERVING && refusalOfAll().isEmpty();
  }

  /**
   * Runs a daemon until it has shut down.
   *
   * @param settings checked settings
   */
  public static void run(Settings settings) {
    EntryDaemon daemon = new EntryDaemon(settings);
    daemon.start().toCompletionStage().toCompletableFuture().join();
    new ShutdownSignals(daemon).awaitEnd();
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

  ActiveRequests active() {
    return active;
  }

  ControlPlane control() {
    return java.util.Objects.requireNonNull(control);
  }

  /**
   * Starts to refuse requests.
   *
   * @param newReadiness what callers and the balancer get from now on
   */
  void setReadiness(Readiness newReadiness) {
    readiness = newReadiness;
  }

  /** How far the daemon is on its way out. */
  enum Readiness {
    /** It serves. */
    SERVING,
    /** It serves, but the balancer shall send no more. */
    LEAVING,
    /** It refuses new requests. */
    CLOSED
  }

  /**
   * Stops all parts at once.
   *
   * @return completes when all ports are closed
   */
  public Future<Void> stop() {
    return vertx.close();
  }
}
