package org.cactusseam.edge;

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
import org.cactusseam.edge.caller.AttemptIds;
import org.cactusseam.edge.caller.CallerServer;
import org.cactusseam.edge.caller.CallerServices;
import org.cactusseam.edge.control.ControlPlane;
import org.cactusseam.edge.platform.HttpAppendOnlyLog;
import org.cactusseam.edge.platform.HttpVirtualMachineList;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.control.Member;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/** The entry daemon as a library: everything that {@code cactusseam serve} runs. */
public final class EntryDaemon {

  private static final Logger LOG = Logger.getLogger(EntryDaemon.class);
  private static final int BOOT_CHARACTERS = 8;

  /** Entry VMs are small; one control thread and this many traffic threads fit them. */
  private static final int TRAFFIC_THREADS = 2;

  private final Settings settings;
  private final Clock clock = new SteadyClock();
  private final Vertx vertx =
      Vertx.vertx(
          new VertxOptions().setEventLoopPoolSize(TRAFFIC_THREADS + 1).setWorkerPoolSize(2));
  private final Member self;
  private final ActiveRequests active;
  private volatile @Nullable ControlPlane control;

  /**
   * Creates a daemon that is not started.
   *
   * @param settings checked settings
   */
  public EntryDaemon(Settings settings) {
    this.settings = settings;
    String boot = UUID.randomUUID().toString().substring(0, BOOT_CHARACTERS);
    this.self =
        new Member(
            settings.node(),
            boot,
            settings.addresses().peer().host(),
            settings.addresses().peer().port(),
            settings.failureDomain(),
            settings.region());
    this.active = new ActiveRequests(settings.node(), clock);
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
                LOG.infof(
                    "event=started node=%s boot=%s caller=%s",
                    self.node(), self.boot(), settings.addresses().caller()));
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
            active,
            new AttemptIds(self.node(), self.boot()));
    return vertx
        .deployVerticle(
            () -> new CallerServer(services, this::refusalOfAll),
            new DeploymentOptions().setInstances(TRAFFIC_THREADS))
        .mapEmpty();
  }

  private Optional<Refusal> refusalOfAll() {
    ControlPlane plane = control;
    if (plane == null || !plane.isCaughtUp()) {
      return Optional.of(
          new Refusal(
              ResultCode.NOT_READY, "this VM has no configuration yet", Duration.ofSeconds(1)));
    }
    return Optional.empty();
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
