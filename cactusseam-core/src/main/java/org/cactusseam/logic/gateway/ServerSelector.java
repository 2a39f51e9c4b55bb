package org.cactusseam.logic.gateway;

import java.time.Clock;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.model.gateway.EngineCapabilities;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Chooses the backend server of a request. Answers three load patterns: many requests at once,
 * which must not all go to the server that seemed idle last; a few very long ones, which fill the
 * memory of an engine long before its slots are taken; and many short ones, which leave an engine
 * so fast that it seems idle while their prompts wait for each other to be read.
 */
public final class ServerSelector {

  /**
   * Part of an engine's memory that expected runs may take; the rest covers runs that turn out
   * longer than expected, before the engine preempts one.
   */
  private static final double MEMORY_PART = 0.9;

  /** Cost of another region, in parts of a full server: its link is slow and billed by volume. */
  private static final double OTHER_REGION = 0.35;

  /** Cost of another failure domain of the same region, in parts of a full server. */
  private static final double OTHER_FAILURE_DOMAIN = 0.04;

  /**
   * Cost of a copy in another failure domain, in parts of a full server: it takes twice as long.
   */
  private static final double COPY_OTHER_FAILURE_DOMAIN = 1;

  /**
   * Range of the random part of a copy's cost. All VMs copy the runs of a leaving engine at the
   * same moment, before they know of each other's choices.
   */
  private static final double COPY_SPREAD = 0.4;

  /** Room for what a run generates until its engine ends: 2 s with a step of 7 ms and more. */
  private static final int COPY_GROWTH_TOKENS = 250;

  /** Odd number with well-mixed bits (Knuth's multiplicative hash). */
  private static final int HASH_FACTOR = 0x9E3779B1;

  /** Cost of a server that fails all its requests, in parts of a full server. */
  private static final double FAILURES = 3;

  /**
   * Cost of a server that has just started, in parts of a full server: its first steps are slow.
   */
  private static final double WARMING_UP = 0.4;

  /**
   * Prompt tokens whose reading costs as much as a full server. Engines read 112 tokens of prompts
   * in a step of 15 ms and more (site files), so that these take a target latency of 1.5 s.
   */
  private static final double UNREAD_TOKENS = 9_000;

  private final Clock clock;
  private final Location location;
  private final ServerTable servers;
  private final ServerLoads loads;
  private final ServerHealth health;
  private final LeavingServers departures;
  private final EngineReports reports;
  private final ColdLimit.Tolerance tolerance;
  private final Map<String, RateShare> rates = new HashMap<>();
  private int vms = 1;

  /**
   * Where this VM stands.
   *
   * @param failureDomain own failure domain
   * @param regions region of each failure domain
   */
  public record Location(String failureDomain, Map<String, String> regions) {

    /** Copies the map. */
    public Location {
      regions = Map.copyOf(regions);
    }

    Optional<String> regionOf(String otherDomain) {
      return Optional.ofNullable(regions.get(otherDomain));
    }

    /**
     * Returns whether a failure domain belongs to the own region.
     *
     * @param otherDomain failure domain
     * @return whether it does; an unknown one does not
     */
    public boolean isOwnRegion(String otherDomain) {
      return regionOf(otherDomain).equals(regionOf(failureDomain));
    }
  }

  /**
   * What a request needs of its server.
   *
   * @param service service
   * @param regions regions that are allowed; empty if all are
   * @param tokens memory that the run is expected to need; 0 for plain requests
   * @param excluded servers that must not be chosen
   * @param spread number that differs between requests and spreads their choices
   */
  public record Requirements(
      GatewayService service, Set<String> regions, int tokens, Set<String> excluded, int spread) {

    /** Copies the collections. */
    public Requirements {
      regions = Set.copyOf(regions);
      excluded = Set.copyOf(excluded);
    }
  }

  /**
   * Creates a placement.
   *
   * @param clock time
   * @param location where this VM stands
   * @param servers servers
   * @param loads load of the servers
   * @param health health of the servers
   * @param departures servers that leave
   * @param reports what engines report of their room
   * @param tolerance how far a cold server may be overrun
   */
  public ServerSelector(
      Clock clock,
      Location location,
      ServerTable servers,
      ServerLoads loads,
      ServerHealth health,
      LeavingServers departures,
      EngineReports reports,
      ColdLimit.Tolerance tolerance) {
    this.clock = clock;
    this.location = location;
    this.servers = servers;
    this.loads = loads;
    this.health = health;
    this.departures = departures;
    this.reports = reports;
    this.tolerance = tolerance;
  }

  /**
   * Sets the number of VMs that share the rates.
   *
   * @param number number of VMs, this one included
   */
  public void setVmCount(int number) {
    if (vms != Math.max(1, number)) {
      vms = Math.max(1, number);
      rates.clear();
    }
  }

  /**
   * Returns whether any server could ever run the request.
   *
   * @param need what it needs
   * @return whether a listed server is allowed for it
   */
  public boolean isServable(Requirements need) {
    return servers.usable(need.service().name()).stream().anyMatch(each -> isAllowed(need, each));
  }

  /**
   * Chooses a server that has room.
   *
   * @param need what the request needs
   * @return server, or nothing if all are full, suspended or excluded
   */
  public Optional<ServerInstance> choose(Requirements need) {
    Instant now = clock.instant();
    return servers.usable(need.service().name()).stream()
        .filter(server -> isAllowed(need, server))
        .filter(server -> hasRoom(need, server))
        .filter(server -> !health.isSuspended(server.id(), now))
        .filter(server -> isWithinRate(need.service(), server, now))
        .min(Comparator.comparingDouble(server -> cost(need, server)));
  }

  /**
   * Chooses a server that takes over a run from another one, by the room that engines report. A
   * server without a report of use is chosen by the loads of the VMs. Servers of other regions are
   * not chosen: such a copy takes 2 s and more, longer than the notice, and all others wait behind
   * it.
   *
   * @param need what the run needs; its tokens are those in memory now
   * @param source server of the run
   * @return server, or nothing if none has room
   */
  public Optional<ServerInstance> chooseCopyTarget(Requirements need, ServerInstance source) {
    Instant now = clock.instant();
    return servers.usable(need.service().name()).stream()
        .filter(server -> !server.id().equals(source.id()))
        .filter(server -> isSameRegion(server, source))
        .filter(server -> isAllowed(need, server))
        .filter(server -> hasRoomForCopy(need, server, now))
        .filter(server -> !health.isSuspended(server.id(), now))
        .min(Comparator.comparingDouble(server -> copyCost(need, server, source)));
  }

  /**
   * Counts a request that is sent now.
   *
   * @param server its server
   */
  public void recordSent(ServerInstance server) {
    RateShare share = rates.get(server.id());
    if (share != null) {
      share.take();
    }
  }

  /** Drops what is kept of servers that are no longer listed. */
  public void tick() {
    rates.keySet().removeIf(id -> servers.find(id).isEmpty());
  }

  private boolean isAllowed(Requirements need, ServerInstance server) {
    return !need.excluded().contains(server.id())
        && !departures.isLeaving(server.id())
        && (need.regions().isEmpty()
            || location
                .regionOf(server.failureDomain())
                .filter(need.regions()::contains)
                .isPresent());
  }

  private boolean hasRoom(Requirements need, ServerInstance server) {
    ServerLoads.ServerLoad load = loads.total(server.id());
    if (load.runs() >= slots(need, server)) {
      return false;
    }
    OptionalInt memory = memory(need.service());
    return memory.isEmpty()
        || load.runs() == 0
        || load.tokens() + need.tokens() <= MEMORY_PART * memory.getAsInt();
  }

  private boolean isSameRegion(ServerInstance one, ServerInstance other) {
    return location.regionOf(one.failureDomain()).equals(location.regionOf(other.failureDomain()));
  }

  private boolean hasRoomForCopy(Requirements need, ServerInstance server, Instant now) {
    OptionalInt free = reports.freeTokens(server.id(), now);
    return free.isPresent()
        ? need.tokens() + COPY_GROWTH_TOKENS <= free.getAsInt()
        : hasRoom(need, server);
  }

  private static int slots(Requirements need, ServerInstance server) {
    int configured = need.service().engine().map(EngineCapabilities::slots).orElse(0);
    int slots = server.slots() > 0 ? server.slots() : configured;
    return slots > 0 ? slots : Integer.MAX_VALUE;
  }

  private static OptionalInt memory(GatewayService service) {
    return service
        .engine()
        .filter(engine -> engine.memoryTokens() > 0)
        .map(engine -> OptionalInt.of(engine.memoryTokens()))
        .orElse(OptionalInt.empty());
  }

  private boolean isWithinRate(GatewayService service, ServerInstance server, Instant now) {
    if (service.coldRequestsPerSecond() <= 0) {
      return true;
    }
    ColdLimit limit = tolerance.limit(service.coldRequestsPerSecond());
    return rates.computeIfAbsent(server.id(), id -> new RateShare(limit, vms, now)).isOpen(now);
  }

  private double cost(Requirements need, ServerInstance server) {
    return load(need, server) + distance(server);
  }

  private double load(Requirements need, ServerInstance server) {
    return load(need, server, loads.total(server.id()).tokens());
  }

  private double load(Requirements need, ServerInstance server, int usedTokens) {
    double runs = (loads.total(server.id()).runs() + 1.0) / Math.min(slots(need, server), 1 << 16);
    OptionalInt memory = memory(need.service());
    double tokens =
        memory.isPresent() ? (usedTokens + need.tokens()) / (double) memory.getAsInt() : 0;
    double unread = loads.total(server.id()).pendingPrefillTokens() / UNREAD_TOKENS;
    double warmUp = servers.isWarmingUp(server.id(), clock.instant()) ? WARMING_UP : 0;
    return runs
        + tokens
        + unread
        + warmUp
        + distance(server)
        + FAILURES * health.failureShare(server.id());
  }

  private double copyCost(Requirements need, ServerInstance server, ServerInstance source) {
    double distance =
        server.failureDomain().equals(source.failureDomain()) ? 0 : COPY_OTHER_FAILURE_DOMAIN;
    OptionalInt free = reports.freeTokens(server.id(), clock.instant());
    OptionalInt memory = memory(need.service());
    double load =
        free.isPresent() && memory.isPresent()
            ? load(need, server, memory.getAsInt() - free.getAsInt())
            : load(need, server);
    return load + distance + COPY_SPREAD * spread(need, server);
  }

  /** Returns a number between 0 and 1 that differs between requests and servers. */
  private static double spread(Requirements need, ServerInstance server) {
    int mixed = Integer.reverse((need.spread() ^ server.id().hashCode()) * HASH_FACTOR);
    return (mixed >>> 1) / (double) Integer.MAX_VALUE;
  }

  private double distance(ServerInstance server) {
    if (server.failureDomain().equals(location.failureDomain())) {
      return 0;
    }
    return location.isOwnRegion(server.failureDomain()) ? OTHER_FAILURE_DOMAIN : OTHER_REGION;
  }
}
