package org.cactusseam.standin.vmlist;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.Json;
import org.cactusseam.standin.StandIn;

/** Simulated list of live and leaving VMs, set by tests and shown with a lag. */
public final class VmListStandIn extends StandIn<VmListFaults> {

  private static final int KEPT_VERSIONS = 1000;
  private static final int UNAVAILABLE = 503;

  private final Clock clock;
  private final Deque<Version> versions = new ArrayDeque<>();

  private record Version(long sinceMs, VmList list) {}

  /**
   * Creates an empty list; it runs after its deployment.
   *
   * @param endpoint where it listens
   * @param faults faults in force from the start
   * @param clock source of time
   */
  public VmListStandIn(Endpoint endpoint, VmListFaults faults, Clock clock) {
    super(endpoint, faults);
    this.clock = clock;
    versions.add(new Version(Long.MIN_VALUE, VmList.EMPTY));
  }

  @Override
  protected void addControlRoutes(Router router) {
    super.addControlRoutes(router);
    router.put("/vms").handler(this::set);
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.get("/vms").handler(this::show);
  }

  private void set(RoutingContext context) {
    VmList list = Json.toValue(Json.parseObject(bodyText(context)), VmList.class);
    versions.addLast(new Version(clock.millis(), list));
    if (versions.size() > KEPT_VERSIONS) {
      versions.removeFirst();
    }
    reply(context, 200, list);
  }

  private void show(RoutingContext context) {
    if (faults.current().outage()) {
      replyError(context, UNAVAILABLE, "outage");
    } else {
      reply(context, 200, visible());
    }
  }

  private VmList visible() {
    long timeMs = clock.millis() - faults.current().lagMs();
    Iterator<Version> newestFirst = versions.descendingIterator();
    while (newestFirst.hasNext()) {
      Version version = newestFirst.next();
      if (version.sinceMs <= timeMs) {
        return version.list;
      }
    }
    return versions.getFirst().list;
  }
}
