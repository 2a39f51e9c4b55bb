package org.cactusseam.logic.gateway;

import java.time.Clock;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.model.gateway.EngineCapabilities;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.VersionFilter;

/**
 * Chooses the backend server of a request by estimated cost. Handles three load patterns: bursts of
 * requests, which must not all go to the server that last seemed idle; a few very long runs, which
 * fill the memory of an engine long before its slots; and many short runs, which end so fast that
 * an engine seems idle while their prompts still queue for prefill.
 */
public final class ServerSelector {

  /**
   * Fraction of an engine's memory that may be filled by the expected size of runs. The rest
   * absorbs runs that get longer than expected, before the engine has to preempt one.
   */
  private static final double MAX_MEMORY_FRACTION = 0.9;

  /**
   * Cost of a server in another region, relative to a fully loaded server: the link is slow and
   * billed by volume.
   */
  private static final double OTHER_REGION_COST = 0.35;

  /**
   * Cost of a server in another failure domain of the same region, relative to a fully loaded
   * server.
   */
  private static final double OTHER_FAILURE_DOMAIN_COST = 0.04;

  /**
   * Cost of a copy to another failure domain, relative to a fully loaded server: it takes twice as
   * long.
   */
  private static final double COPY_OTHER_FAILURE_DOMAIN_COST = 1;

  /**
   * Range of the pseudo-random part of the cost of a copy. All VMs copy the runs of a leaving
   * engine at the same moment, before they know of each other's choices.
   */
  private static final double COPY_JITTER = 0.4;

  /**
   * Memory for the tokens that a run generates until its engine stops: 2 s with steps of at least 7
   * ms.
   */
  private static final int COPY_GROWTH_TOKENS = 250;

  /** Odd number with well-mixed bits (Knuth's multiplicative hash). */
  private static final int HASH_MULTIPLIER = 0x9E3779B1;

  /** Cost of a server that fails all its requests, relative to a fully loaded server. */
  private static final double FAILURE_COST = 3;

  /**
   * Cost of a server that has just started, relative to a fully loaded server: its first steps are
   * slow.
   */
  private static final double WARM_UP_COST = 0.4;

  /**
   * Number of tokens pending prefill that cost as much as a fully loaded server. Engines process
   * 112 prompt tokens in a step of at least 15 ms, so that the prefill of this number of tokens
   * takes 1.2 s or more, about as long as the target latency of 1.5 s.
   */
  private static final double FULL_LOAD_PREFILL_TOKENS = 9_000;

  /**
   * Range of the pseudo-random part of the cost at a service whose servers state their pace,
   * relative to the load of the server. All VMs see the same fast servers before they know of each
   * other's choices. A replay with 126 VMs gave a mean response time of 714 ms without this part,
   * 339 ms with 0.5, 247 ms with 1 and 320 ms with 2.
   */
  private static final double PACE_JITTER = 1;

  private final Clock clock;
  private final Location vmLocation;
  private final ServerTable servers;
  private final ServerLoads loads;
  private final ServerPaces paces;
  private final ServerHealth health;
  private final LeavingServers leavingServers;
  private final EngineReports reports;
  private final ColdLimit.Tolerance tolerance;
  private final Map<String, RateLimitShare> rateLimits = new HashMap<>();
  private int vms = 1;

  /**
   * Location of this VM.
   *
   * @param failureDomain failure domain of this VM
   * @param regions region of each failure domain, by the name of the failure domain
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
     * Returns whether a failure domain belongs to the region of this VM.
     *
     * @param otherDomain name of the failure domain
     * @return whether both are in the same region
     */
    public boolean isOwnRegion(String otherDomain) {
      return isSameRegion(otherDomain, failureDomain);
    }

    /**
     * Returns whether two failure domains belong to the same region.
     *
     * @param one name of a failure domain
     * @param other name of a failure domain
     * @return whether both are in the same region
     */
    public boolean isSameRegion(String one, String other) {
      return regionOf(one).equals(regionOf(other));
    }
  }

  /**
   * Requirements of a request for its server.
   *
   * @param service service that the server must belong to
   * @param regions allowed regions; empty if all are allowed
   * @param tokens memory that the run is expected to need, in tokens; 0 for plain requests
   * @param excluded identifiers of servers that must not be chosen
   * @param spread seed that differs between requests, so that simultaneous choices are spread over
   *     servers
   * @param route name of the route; empty if the duration of the request is of no known route
   * @param versions versions of servers that may be chosen
   */
  public record Requirements(
      GatewayService service,
      Set<String> regions,
      int tokens,
      Set<String> excluded,
      int spread,
      String route,
      VersionFilter versions) {

    /** Copies the collections. */
    public Requirements {
      regions = Set.copyOf(regions);
      excluded = Set.copyOf(excluded);
    }

    /** Creates the requirements of a request of no known route that allow every version. */
    public Requirements(
        GatewayService service, Set<String> regions, int tokens, Set<String> excluded, int spread) {
      this(service, regions, tokens, excluded, spread, "", VersionFilter.ANY);
    }

    /**
     * Returns the same requirements with more servers excluded.
     *
     * @param more identifiers of servers that must not be chosen either
     * @return requirements that exclude both
     */
    public Requirements excluding(Set<String> more) {
      return withServers(versions, more);
    }

    /**
     * Returns these requirements with other servers.
     *
     * @param allowed versions that may be chosen
     * @param furtherExcluded identifiers of further servers that must not be chosen
     * @return changed copy
     */
    public Requirements withServers(VersionFilter allowed, Set<String> furtherExcluded) {
      Set<String> allExcluded = new HashSet<>(excluded);
      allExcluded.addAll(furtherExcluded);
      return new Requirements(service, regions, tokens, allExcluded, spread, route, allowed);
    }
  }

  /**
   * Creates a selector that reads the given state at each choice.
   *
   * @param vmLocation location of this VM
   * @param servers listed servers
   * @param loads load of the servers, as counted by all VMs
   * @param paces how long work takes at the servers now
   * @param health recent failures of the servers
   * @param leavingServers servers that must not get new requests
   * @param reports reports of engines about their free memory
   * @param tolerance how far requests may exceed the rate of a cold server
   */
  public ServerSelector(
      Clock clock,
      Location vmLocation,
      ServerTable servers,
      ServerLoads loads,
      ServerPaces paces,
      ServerHealth health,
      LeavingServers leavingServers,
      EngineReports reports,
      ColdLimit.Tolerance tolerance) {
    this.clock = clock;
    this.vmLocation = vmLocation;
    this.servers = servers;
    this.loads = loads;
    this.paces = paces;
    this.health = health;
    this.leavingServers = leavingServers;
    this.reports = reports;
    this.tolerance = tolerance;
  }

  /**
   * Sets the number of VMs that share the request rates of cold servers.
   *
   * @param number number of VMs, including this one
   */
  public void setVmCount(int number) {
    vms = Math.max(1, number);
  }

  /**
   * Returns whether any listed server may run the request, regardless of its load.
   *
   * @param requirements requirements of the request
   * @return whether at least one listed server is allowed and not leaving
   */
  public boolean isServable(Requirements requirements) {
    return servers.usable(requirements.service().name()).stream()
        .anyMatch(each -> isAllowed(requirements, each));
  }

  /**
   * Returns the share of the slots that are taken, of the allowed servers that are neither
   * suspended nor warming up. The connection limit stands for the slots of a server that has none.
   *
   * @param requirements requirements of the request
   * @return share from 0 to 1; 0 if no server has a known limit
   */
  public double occupancy(Requirements requirements) {
    Instant now = clock.instant();
    long runs = 0;
    long slots = 0;
    for (ServerInstance server : servers.usable(requirements.service().name())) {
      int limit = capacity(requirements, server);
      if (limit > 0
          && isAllowed(requirements, server)
          && !health.isSuspended(server.id(), now)
          && !servers.isWarmingUp(server.id(), now)) {
        runs += Math.min(limit, loads.total(server.id()).runs());
        slots += limit;
      }
    }
    return slots == 0 ? 0 : (double) runs / slots;
  }

  /**
   * Chooses the server with the lowest cost that has free capacity.
   *
   * @param requirements requirements of the request
   * @return server, or empty if all are full, suspended, rate limited or excluded
   */
  public Optional<ServerInstance> choose(Requirements requirements) {
    Instant now = clock.instant();
    List<ServerInstance> candidates =
        servers.usable(requirements.service().name()).stream()
            .filter(server -> isAllowed(requirements, server))
            .filter(server -> hasRoom(requirements, server))
            .filter(server -> !health.isSuspended(server.id(), now))
            .filter(server -> isWithinRate(requirements.service(), server, now))
            .toList();
    return isPaced(requirements.service())
        ? choosePaced(requirements, candidates, now)
        : candidates.stream()
            .min(Comparator.comparingDouble(server -> cost(requirements, server, 1)));
  }

  /**
   * Chooses the distance by the cost without the pseudo-random part, then a server at this distance
   * by the cost with it. Otherwise the pseudo-random part, which grows with the load, would send
   * requests to another region at equal load.
   */
  private Optional<ServerInstance> choosePaced(
      Requirements requirements, List<ServerInstance> candidates, Instant now) {
    return candidates.stream()
        .min(
            Comparator.comparingDouble(
                server -> cost(requirements, server, paceFactor(requirements, server, now))))
        .map(this::distanceCost)
        .flatMap(
            distance ->
                candidates.stream()
                    .filter(server -> distanceCost(server) == distance)
                    .min(
                        Comparator.comparingDouble(
                            server ->
                                cost(
                                    requirements,
                                    server,
                                    paceFactor(requirements, server, now)
                                        * (1 + PACE_JITTER * spread(requirements, server))))));
  }

  /**
   * Chooses a server that receives the KV cache of a run from another one, by the free memory that
   * engines report. For a server without a usable report, the loads counted by the VMs are used.
   * Servers of other regions are never chosen: such a copy takes at least 2 s, longer than the
   * shutdown notice, and delays all other copies of the engine.
   *
   * @param requirements requirements of the run, with the tokens that it has in memory now
   * @param source server that runs it now
   * @return server, or empty if none has enough memory
   */
  public Optional<ServerInstance> chooseCopyTarget(
      Requirements requirements, ServerInstance source) {
    Instant now = clock.instant();
    return servers.usable(requirements.service().name()).stream()
        .filter(server -> !server.id().equals(source.id()))
        .filter(server -> vmLocation.isSameRegion(server.failureDomain(), source.failureDomain()))
        .filter(server -> isAllowed(requirements, server))
        .filter(server -> hasRoomForCopy(requirements, server, now))
        .filter(server -> !health.isSuspended(server.id(), now))
        .min(Comparator.comparingDouble(server -> copyCost(requirements, server, source)));
  }

  /**
   * Counts a request that is sent now towards the rate limit of its server.
   *
   * @param server server that gets the request
   */
  public void recordSent(ServerInstance server) {
    RateLimitShare share = rateLimits.get(server.id());
    if (share != null) {
      share.take();
    }
  }

  /**
   * Returns whether a server of a service has stated its pace, so that paces count in the choice.
   *
   * @param service service of the servers
   */
  public boolean isPaced(GatewayService service) {
    return servers.usable(service.name()).stream()
        .anyMatch(server -> paces.hasStatement(server.id()));
  }

  /** Removes the rate limits and paces of servers that are no longer listed. */
  public void tick() {
    paces.retain(id -> servers.find(id).isPresent());
    rateLimits.keySet().removeIf(id -> servers.find(id).isEmpty());
  }

  private boolean isAllowed(Requirements requirements, ServerInstance server) {
    return !requirements.excluded().contains(server.id())
        && !leavingServers.isLeaving(server.id())
        && requirements.versions().accepts(server)
        && (requirements.regions().isEmpty()
            || vmLocation
                .regionOf(server.failureDomain())
                .filter(requirements.regions()::contains)
                .isPresent());
  }

  private boolean hasRoom(Requirements requirements, ServerInstance server) {
    ServerLoads.ServerLoad load = loads.total(server.id());
    if (load.runs() >= slots(requirements, server)) {
      return false;
    }
    OptionalInt memory = memory(requirements.service());
    return memory.isEmpty()
        || load.runs() == 0
        || load.tokens() + requirements.tokens() <= MAX_MEMORY_FRACTION * memory.getAsInt();
  }

  private boolean hasRoomForCopy(Requirements requirements, ServerInstance server, Instant now) {
    OptionalInt free = reports.freeTokens(server.id(), now);
    return free.isPresent()
        ? requirements.tokens() + COPY_GROWTH_TOKENS <= free.getAsInt()
        : hasRoom(requirements, server);
  }

  private static int slots(Requirements requirements, ServerInstance server) {
    int configured = requirements.service().engine().map(EngineCapabilities::slots).orElse(0);
    int slots = server.slots() > 0 ? server.slots() : configured;
    return slots > 0 ? slots : Integer.MAX_VALUE;
  }

  private static int capacity(Requirements requirements, ServerInstance server) {
    int slots = slots(requirements, server);
    return slots < Integer.MAX_VALUE ? slots : requirements.service().connectionLimit();
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
    RateLimitShare share =
        rateLimits.computeIfAbsent(server.id(), id -> new RateLimitShare(limit, vms, now));
    share.adjust(limit, vms, now);
    return share.hasCapacity(now);
  }

  private double cost(Requirements requirements, ServerInstance server, double loadFactor) {
    int usedTokens = loads.total(server.id()).tokens();
    return loadFactor * workload(requirements, server, usedTokens)
        + warmUpCost(server)
        + failureCost(server)
        + distanceCost(server);
  }

  private double paceFactor(Requirements requirements, ServerInstance server, Instant now) {
    return paces.factor(server.id(), requirements.route(), now);
  }

  private double load(Requirements requirements, ServerInstance server) {
    return load(requirements, server, loads.total(server.id()).tokens());
  }

  private double load(Requirements requirements, ServerInstance server, int usedTokens) {
    return workload(requirements, server, usedTokens) + warmUpCost(server) + failureCost(server);
  }

  /** Returns the load by requests, which is worked off at the pace of the server. */
  private double workload(Requirements requirements, ServerInstance server, int usedTokens) {
    double runs =
        (loads.total(server.id()).runs() + 1.0) / Math.min(slots(requirements, server), 1 << 16);
    OptionalInt memory = memory(requirements.service());
    double tokens =
        memory.isPresent() ? (usedTokens + requirements.tokens()) / (double) memory.getAsInt() : 0;
    double pendingPrefill =
        loads.total(server.id()).pendingPrefillTokens() / FULL_LOAD_PREFILL_TOKENS;
    return runs + tokens + pendingPrefill;
  }

  private double warmUpCost(ServerInstance server) {
    return servers.isWarmingUp(server.id(), clock.instant()) ? WARM_UP_COST : 0;
  }

  private double failureCost(ServerInstance server) {
    return FAILURE_COST * health.failureShare(server.id());
  }

  private double copyCost(Requirements requirements, ServerInstance server, ServerInstance source) {
    double distanceCost =
        server.failureDomain().equals(source.failureDomain()) ? 0 : COPY_OTHER_FAILURE_DOMAIN_COST;
    OptionalInt free = reports.freeTokens(server.id(), clock.instant());
    OptionalInt memory = memory(requirements.service());
    double load =
        free.isPresent() && memory.isPresent()
            ? load(requirements, server, memory.getAsInt() - free.getAsInt())
            : load(requirements, server);
    return load + distanceCost + COPY_JITTER * spread(requirements, server);
  }

  /** Returns a pseudo-random number between 0 and 1, derived from the request and the server. */
  private static double spread(Requirements requirements, ServerInstance server) {
    int mixed = Integer.reverse((requirements.spread() ^ server.id().hashCode()) * HASH_MULTIPLIER);
    return (mixed >>> 1) / (double) Integer.MAX_VALUE;
  }

  private double distanceCost(ServerInstance server) {
    if (server.failureDomain().equals(vmLocation.failureDomain())) {
      return 0;
    }
    return vmLocation.isOwnRegion(server.failureDomain())
        ? OTHER_FAILURE_DOMAIN_COST
        : OTHER_REGION_COST;
  }
}
