package org.cactusseam.logic.replay;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.ShardId;

/**
 * Replays a trace through {@link org.cactusseam.logic.admission.AdmissionShard} and {@link
 * EngineModel} on a simulated clock, with one shard for each region.
 *
 * <p>The replay evaluates admission decisions; it does not simulate a cluster. Not modelled are:
 * the processes of entry daemons and their failures, changes of shard owners, the log and the delay
 * of configuration changes, lost and reordered messages, link bandwidth, CPU time, callers that
 * retry after a refusal or disconnect early, stream resumption, plain services, and the claims that
 * protect requests which must not run twice.
 */
public final class ReplayRunner {

  /** Time after the last trace line within which running requests can finish. */
  private static final long DRAIN_MILLIS = 130_000;

  /** Delay before the trace begins, so that engines have completed their initial cold phase. */
  private static final long WARM_UP_MICROS = 20_000_000;

  private static final Map<String, Integer> RANKS =
      ImmutableMap.of("premium", 0, "watched", 1, "waiting", 2);

  private final ReplaySettings settings;
  private final PausedClock clock = new PausedClock();
  private final EventQueue queue = new EventQueue(clock);
  private final Map<String, SimulatedShardOwner> owners = new LinkedHashMap<>();
  private final Map<String, SimulatedServer> servers = new LinkedHashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private long revision = 1;

  private ReplayRunner(ReplaySettings settings) {
    this.settings = settings;
  }

  /**
   * Replays a trace. The same trace and settings always give the same result.
   *
   * @param trace trace lines, ordered by time
   * @param settings deployment, admission settings and reporting delays
   * @return statistics of the replay
   */
  public static ReplayReport run(List<TraceLine> trace, ReplaySettings settings) {
    return new ReplayRunner(settings).replay(trace);
  }

  private ReplayReport replay(List<TraceLine> trace) {
    Deployment deployment = settings.deployment();
    createAccounts(deployment);
    deployment.domains().forEach(domain -> createDomain(domain, trace));
    configure();
    queue.runUntil(WARM_UP_MICROS);
    ReplayStatistics statistics = new ReplayStatistics(outMillis(trace), inMillis(trace));
    ReplayNetwork network =
        new ReplayNetwork(queue, statistics, deployment, List.copyOf(owners.values()), RANKS);
    long number = 0;
    long end = 0;
    for (TraceLine line : trace) {
      schedule(line, network, number++);
      end = Math.max(end, line.atMillis());
    }
    queue.runUntil(WARM_UP_MICROS + (end + DRAIN_MILLIS) * 1_000);
    long violations =
        servers.values().stream().mapToLong(server -> server.engine.coldViolations()).sum();
    long crashes = servers.values().stream().mapToLong(SimulatedServer::crashes).sum();
    return new ReplayReport(violations, crashes, statistics.rows());
  }

  private void createAccounts(Deployment deployment) {
    RANKS.forEach(
        (name, rank) ->
            putObject(
                new PriorityClass(new PriorityClassName(name), rank, name.equals("waiting"))));
    for (AccountProfile account : deployment.accounts()) {
      putObject(
          new ClientAccount(
              new AccountName(account.name()),
              new PriorityClassName(account.priorityClass()),
              account.share(),
              List.of()));
    }
  }

  private void putObject(ConfigurationObject object) {
    configuration = configuration.with(object, revision++);
  }

  private void createDomain(Deployment.Domain domain, List<TraceLine> trace) {
    boolean staysOut =
        settings.domainStaysOut()
            && trace.stream()
                .anyMatch(
                    line ->
                        line instanceof TraceLine.DomainOut order
                            && order.domain().equals(domain.name()));
    setState(domain, staysOut ? ServiceState.OUT : ServiceState.IN);
    Deployment deployment = settings.deployment();
    RegionName region = new RegionName(domain.region());
    SimulatedShardOwner owner =
        owners.computeIfAbsent(
            domain.region(),
            name ->
                new SimulatedShardOwner(
                    new ShardId(new PoolName(deployment.pool()), region, 0),
                    queue,
                    clock,
                    settings));
    for (int index = 0; index < domain.servers(); index++) {
      BackendServer server = server(domain, domain.server(index));
      long seed = settings.seed() * 1_000 + servers.size();
      servers.put(
          server.name().value(),
          new SimulatedServer(server, domain.region(), queue, settings, owner, seed));
    }
  }

  private BackendServer server(Deployment.Domain domain, String name) {
    Deployment deployment = settings.deployment();
    return new BackendServer(
        new BackendServerName(name),
        new PoolName(deployment.pool()),
        new FailureDomainName(domain.name()),
        BackendKind.ENGINE,
        "127.0.0.1",
        1,
        true,
        deployment.engine().coldStart().limit(),
        deployment.warmLimit(),
        deployment.engine().memoryTokens(),
        ServiceState.IN);
  }

  private void setState(Deployment.Domain domain, ServiceState state) {
    putObject(
        new FailureDomain(
            new FailureDomainName(domain.name()), new RegionName(domain.region()), state));
  }

  private void configure() {
    owners.values().forEach(owner -> owner.configure(configuration, revision));
  }

  private void schedule(TraceLine line, ReplayNetwork network, long number) {
    long at = WARM_UP_MICROS + line.atMillis() * 1_000;
    switch (line) {
      case TraceLine.Request request -> {
        SimulatedRequest run = new SimulatedRequest(network, request, number, at);
        queue.scheduleAt(at + Deployment.CLIENT_LATENCY_MICROS, run::start);
      }
      case TraceLine.DomainOut order ->
          queue.scheduleAt(at, () -> changeState(order.domain(), ServiceState.OUT));
      case TraceLine.DomainIn order ->
          queue.scheduleAt(at, () -> changeState(order.domain(), ServiceState.IN));
      case TraceLine.ServerCold fault -> queue.scheduleAt(at, () -> turnCold(fault.server()));
    }
  }

  private void changeState(String name, ServiceState state) {
    if (settings.domainStaysOut()) {
      return;
    }
    Deployment.Domain domain =
        settings.deployment().domains().stream()
            .filter(candidate -> candidate.name().equals(name))
            .findFirst()
            .orElseThrow();
    if (state == ServiceState.IN) {
      for (int index = 0; index < domain.servers(); index++) {
        turnCold(domain.server(index));
      }
    }
    setState(domain, state);
    configure();
  }

  private void turnCold(String server) {
    SimulatedServer target = servers.get(server);
    if (target == null) {
      throw new IllegalArgumentException(
          "trace names a server that the deployment does not have: " + server);
    }
    target.turnCold();
  }

  private static long outMillis(List<TraceLine> trace) {
    return trace.stream()
        .filter(TraceLine.DomainOut.class::isInstance)
        .mapToLong(TraceLine::atMillis)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }

  private static long inMillis(List<TraceLine> trace) {
    return trace.stream()
        .filter(TraceLine.DomainIn.class::isInstance)
        .mapToLong(TraceLine::atMillis)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }
}
