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

/**
 * Simulated list of the platform's live and leaving VMs. Tests replace it, and a fault can delay
 * the visibility of changes.
 */
public final class VmListStandIn extends StandIn<VmListFaults> {

  private static final int MAX_VERSIONS = 1000;
  private static final int UNAVAILABLE = 503;

  private final Clock clock;
  private final Deque<Version> versions = new ArrayDeque<>();

  private record Version(long sinceMs, VmList list) {}

  /**
   * Creates an empty list that is served when the stand-in is deployed.
   *
   * @param endpoint address and ports to listen on
   * @param faults faults that apply from the start
   * @param clock supplies the time of each change
   */
  public VmListStandIn(Endpoint endpoint, VmListFaults faults, Clock clock) {
    super(endpoint, faults);
    this.clock = clock;
    versions.add(new Version(Long.MIN_VALUE, VmList.EMPTY));
  }

  @Override
  protected void addControlRoutes(Router router) {
    super.addControlRoutes(router);
    router.put("/vms").handler(this::handlePut);
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.get("/vms").handler(this::handleGet);
  }

  private void handlePut(RoutingContext context) {
    VmList list = Json.toValue(Json.parseObject(bodyText(context)), VmList.class);
    versions.addLast(new Version(clock.millis(), list));
    if (versions.size() > MAX_VERSIONS) {
      versions.removeFirst();
    }
    reply(context, 200, list);
  }

  private void handleGet(RoutingContext context) {
    if (faults.current().outage()) {
      replyError(context, UNAVAILABLE, "outage");
    } else {
      reply(context, 200, findVisibleList());
    }
  }

  private VmList findVisibleList() {
    long visibleUntilMs = clock.millis() - faults.current().lagMs();
    Iterator<Version> newestFirst = versions.descendingIterator();
    while (newestFirst.hasNext()) {
      Version version = newestFirst.next();
      if (version.sinceMs <= visibleUntilMs) {
        return version.list;
      }
    }
    return versions.getFirst().list;
  }
}
