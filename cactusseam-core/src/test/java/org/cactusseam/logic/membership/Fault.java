package org.cactusseam.logic.membership;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cactusseam.model.RegionName;

/** Faults that are injected into a {@link ClusterSimulation}. Most of them end after a duration. */
enum Fault {
  PROCESS_KILLED,
  VM_LOST,
  PROCESS_PAUSED,
  LOG_OUT,
  LOG_OUT_FOR_NODE,
  LOG_OUT_FOR_REGION,
  REGIONS_CUT,
  LINK_CUT,
  NODE_ISOLATED,
  NODE_CUT_FROM_ALL,
  MESSAGES_DELAYED,
  MESSAGES_LOST,
  MESSAGES_DUPLICATED,
  LIST_STALE,
  LIST_OUT,
  NODE_LEAVES,
  NODE_JOINS,
  FIRST_NODE_OF_REGION_JOINS,
  APPENDS_DELAYED,
  TWO_NODES_KILLED;

  /** Injects the fault now and schedules its end. */
  void inject(ClusterSimulation cluster, SimulatedNode target, long durationMillis) {
    switch (this) {
      case PROCESS_KILLED -> stop(cluster, target, false, durationMillis);
      case VM_LOST -> stop(cluster, target, true, durationMillis);
      case PROCESS_PAUSED -> pause(cluster, target, durationMillis);
      case LOG_OUT -> during(cluster, durationMillis, on -> cluster.logOut = on);
      case LOG_OUT_FOR_NODE -> during(cluster, durationMillis, on -> target.logCut = on);
      case LOG_OUT_FOR_REGION -> cutRegion(cluster, target.region, durationMillis, false);
      case REGIONS_CUT -> cutRegion(cluster, target.region, durationMillis, true);
      case LINK_CUT -> cutLink(cluster, target, durationMillis);
      case NODE_ISOLATED -> during(cluster, durationMillis, on -> target.isolated = on);
      case NODE_CUT_FROM_ALL ->
          during(
              cluster,
              durationMillis,
              on -> {
                target.isolated = on;
                target.logCut = on;
              });
      case MESSAGES_DELAYED ->
          during(cluster, durationMillis, on -> cluster.extraDelayMillis = on ? 4000 : 0);
      case MESSAGES_LOST ->
          during(cluster, durationMillis, on -> cluster.lossProbability = on ? 0.5 : 0);
      case MESSAGES_DUPLICATED ->
          during(cluster, durationMillis, on -> cluster.duplicateProbability = on ? 0.5 : 0);
      case LIST_STALE ->
          during(cluster, durationMillis, on -> cluster.listLagMillis = on ? 29_500 : 5_000);
      case LIST_OUT -> during(cluster, durationMillis, on -> cluster.listOut = on);
      case NODE_LEAVES -> leave(cluster, target, durationMillis);
      case NODE_JOINS -> join(cluster, "n" + cluster.nodes.size(), target.region);
      case FIRST_NODE_OF_REGION_JOINS ->
          join(cluster, "m" + cluster.nodes.size(), new RegionName("c"));
      case APPENDS_DELAYED ->
          during(cluster, durationMillis, on -> cluster.appendDelayMillis = on ? 10_000 : 0);
      case TWO_NODES_KILLED -> killTwoNodes(cluster, target, durationMillis);
      default -> throw new IllegalStateException(name());
    }
  }

  /** Switches a fault on or off. */
  private interface Switch {
    void set(boolean on);
  }

  private static void during(ClusterSimulation cluster, long durationMillis, Switch fault) {
    fault.set(true);
    cluster.schedule(durationMillis, () -> fault.set(false));
  }

  private static void stop(
      ClusterSimulation cluster, SimulatedNode target, boolean withVm, long durationMillis) {
    if (target.processUp) {
      target.stop(withVm);
      cluster.schedule(durationMillis, () -> restart(cluster, target));
    }
  }

  private static void restart(ClusterSimulation cluster, SimulatedNode target) {
    if (!target.processUp) {
      target.start();
      cluster.recordVmHistory();
    }
  }

  private static void pause(ClusterSimulation cluster, SimulatedNode target, long durationMillis) {
    target.paused = true;
    cluster.schedule(
        durationMillis,
        () -> {
          if (target.paused) {
            target.resume();
          }
        });
  }

  private static void cutRegion(
      ClusterSimulation cluster, RegionName region, long durationMillis, boolean links) {
    List<SimulatedNode> members =
        cluster.nodes.values().stream().filter(node -> node.region.equals(region)).toList();
    during(
        cluster,
        durationMillis,
        on -> {
          members.forEach(node -> node.logCut = on);
          cluster.regionsCut = on && links;
        });
  }

  private static void cutLink(
      ClusterSimulation cluster, SimulatedNode target, long durationMillis) {
    List<SimulatedNode> peers =
        cluster.nodes.values().stream()
            .filter(node -> node != target && node.region.equals(target.region))
            .toList();
    if (!peers.isEmpty()) {
      SimulatedNode peer = peers.get(cluster.random.nextInt(peers.size()));
      cluster.cutLinks.add(Set.of(target.name, peer.name));
      cluster.schedule(
          durationMillis, () -> cluster.cutLinks.remove(Set.of(target.name, peer.name)));
    }
  }

  private static void leave(ClusterSimulation cluster, SimulatedNode target, long durationMillis) {
    if (target.processUp && !target.paused) {
      target.coordinator.leave();
      target.performActions();
      int run = target.run;
      cluster.schedule(
          durationMillis,
          () -> {
            if (target.run == run) {
              target.stop(false);
            }
          });
      cluster.schedule(durationMillis + 1000, () -> restart(cluster, target));
    }
  }

  private static void join(ClusterSimulation cluster, String name, RegionName region) {
    cluster.addNode(name, region.value());
  }

  private static void killTwoNodes(
      ClusterSimulation cluster, SimulatedNode target, long durationMillis) {
    cluster.nodes.values().stream()
        .filter(node -> node.region.equals(target.region))
        .limit(2)
        .forEach(node -> stop(cluster, node, false, durationMillis));
  }

  /**
   * Chooses a duration between 500 ms and 15.5 s; most are near the lease and the takeover wait.
   */
  static long duration(Random random) {
    return 500 + random.nextInt(random.nextInt(3) == 0 ? 15_000 : 6_000);
  }
}
