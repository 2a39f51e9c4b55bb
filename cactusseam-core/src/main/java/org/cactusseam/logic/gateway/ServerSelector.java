package org.cactusseam.logic.gateway;

import java.time.Clock;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
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

  private final Clock clock;
  private final Location vmLocation;
  private final ServerTable servers;
  private final ServerLoads loads;
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
   * @param versions versions of servers that may be chosen
   */
  public record Requirements(
      GatewayService service,
      Set<String> regions,
      int tokens,
      Set<String> excluded,
      int spread,
      VersionFilter versions) {

    /** Copies the collections. */
    public Requirements {
      regions = Set.copyOf(regions);
      excluded = Set.copyOf(excluded);
    }

    /** Creates requirements that allow every version. */
    public Requirements(
        GatewayService service, Set<String> regions, int tokens, Set<String> excluded, int spread) {
      this(service, regions, tokens, excluded, spread, VersionFilter.ANY);
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
      return new Requirements(service, regions, tokens, allExcluded, spread, allowed);
    }
  }

  /**
   * Creates a selector that reads the given state at each choice.
   *
   * @param vmLocation location of this VM
   * @param servers listed servers
   * @param loads load of the servers, as counted by all VMs
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
      ServerHealth health,
      LeavingServers leavingServers,
      EngineReports reports,
      ColdLimit.Tolerance tolerance) {
    this.clock = clock;
    this.vmLocation = vmLocation;
    this.servers = servers;
    this.loads = loads;
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
   * Chooses the server with the lowest cost that has free capacity.
   *
   * @param requirements requirements of the request
   * @return server, or empty if all are full, suspended, rate limited or excluded
   */
  public Optional<ServerInstance> choose(Requirements requirements) {
    Instant now = clock.instant();
    return servers.usable(requirements.service().name()).stream()
        .filter(server -> isAllowed(requirements, server))
        .filter(server -> hasRoom(requirements, server))
        .filter(server -> !health.isSuspended(server.id(), now))
        .filter(server -> isWithinRate(requirements.service(), server, now))
        .min(Comparator.comparingDouble(server -> cost(requirements, server)));
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

  /** Removes the rate limits of servers that are no longer listed. */
  public void tick() {
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

  private double cost(Requirements requirements, ServerInstance server) {
    return load(requirements, server) + distanceCost(server);
  }

  private double load(Requirements requirements, ServerInstance server) {
    return load(requirements, server, loads.total(server.id()).tokens());
  }

  private double load(Requirements requirements, ServerInstance server, int usedTokens) {
    double runs =
        (loads.total(server.id()).runs() + 1.0) / Math.min(slots(requirements, server), 1 << 16);
    OptionalInt memory = memory(requirements.service());
    double tokens =
        memory.isPresent() ? (usedTokens + requirements.tokens()) / (double) memory.getAsInt() : 0;
    double pendingPrefill =
        loads.total(server.id()).pendingPrefillTokens() / FULL_LOAD_PREFILL_TOKENS;
    double warmUpCost = servers.isWarmingUp(server.id(), clock.instant()) ? WARM_UP_COST : 0;
    return runs
        + tokens
        + pendingPrefill
        + warmUpCost
        + FAILURE_COST * health.failureShare(server.id());
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
