package org.cactusseam.logic.admission;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;

/**
 * Decides when and where the requests of a shard run. All requests for the shard's backend servers
 * pass through its owner, so decisions use exact counts of what was sent instead of lagged reports.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class AdmissionShard {

  private static final int LOWEST_RANK = 9;

  private final ShardId id;
  private final Clock clock;
  private final Map<BackendServerName, ServerState> servers = new LinkedHashMap<>();
  private final Map<PermitRequestId, Waiting> queue = new LinkedHashMap<>();
  private final Map<PermitRequestId, Permit> running = new HashMap<>();
  private final List<AdmissionDecision> decisions = new ArrayList<>();
  private Configuration configuration = Configuration.EMPTY;
  private long epoch;

  private record Waiting(PermitRequest request, Instant deadline) {}

  /**
   * Creates a shard without servers.
   *
   * @param id identity
   * @param clock source of time
   */
  public AdmissionShard(ShardId id, Clock clock) {
    this.id = id;
    this.clock = clock;
  }

  /**
   * Sets the servers, the configuration and the epoch of the permits to come.
   *
   * @param newServers servers of the shard, also those out of service
   * @param newConfiguration configuration
   * @param newEpoch fencing number
   */
  public void configure(
      List<BackendServer> newServers, Configuration newConfiguration, long newEpoch) {
    configuration = newConfiguration;
    epoch = newEpoch;
    servers.keySet().retainAll(newServers.stream().map(BackendServer::name).toList());
    for (BackendServer server : newServers) {
      servers.computeIfAbsent(server.name(), name -> new ServerState()).description = server;
    }
    admitWaiting();
  }

  /**
   * Queues an attempt. Repeating an attempt that runs gives the same permit again.
   *
   * @param request attempt
   */
  public void request(PermitRequest request) {
    Permit granted = running.get(request.id());
    if (granted != null) {
      decisions.add(new AdmissionDecision.Granted(granted));
      return;
    }
    if (servers.values().stream().noneMatch(this::isInService)) {
      refuse(request.id(), ResultCode.NO_BACKEND_SERVER, Duration.ofSeconds(5));
      return;
    }
    queue.put(
        request.id(), new Waiting(request, clock.instant().plusMillis(request.patienceMillis())));
    admitWaiting();
    if (queue.containsKey(request.id())) {
      decisions.add(new AdmissionDecision.Queued(request.id()));
    }
  }

  /**
   * Notes the head of a backend server's response to an attempt.
   *
   * @param attempt attempt
   * @param condition what the server says of itself
   */
  public void confirmed(PermitRequestId attempt, BackendCondition condition) {
    server(attempt)
        .ifPresent(
            server -> {
              server.unconfirmed.remove(attempt);
              server.observe(condition);
            });
    admitWaiting();
  }

  /**
   * Notes progress of an attempt.
   *
   * @param attempt attempt
   * @param tokens tokens delivered so far
   */
  public void progress(PermitRequestId attempt, long tokens) {
    // Output lengths are not estimated yet.
  }

  /**
   * Notes the end of an attempt, also of one that waits.
   *
   * @param attempt attempt
   * @param end how it ended
   * @param tokens tokens delivered
   */
  public void ended(PermitRequestId attempt, AttemptEnd end, long tokens) {
    queue.remove(attempt);
    server(attempt)
        .ifPresent(
            server -> {
              server.unconfirmed.remove(attempt);
              server.open--;
              if (end == AttemptEnd.BROKEN) {
                server.cold = true;
              }
            });
    running.remove(attempt);
    admitWaiting();
  }

  /**
   * Notes a load report.
   *
   * @param server backend server
   * @param report report
   */
  public void loadReport(BackendServerName server, LoadReport report) {
    ServerState state = servers.get(server);
    if (state != null) {
      state.observe(report.condition());
    }
    admitWaiting();
  }

  /** Lets time pass: refuses attempts whose deadline is over and admits what fits. */
  public void tick() {
    Instant now = clock.instant();
    List<PermitRequestId> late =
        queue.values().stream()
            .filter(waiting -> !waiting.deadline.isAfter(now))
            .map(waiting -> waiting.request.id())
            .toList();
    for (PermitRequestId attempt : late) {
      queue.remove(attempt);
      refuse(attempt, ResultCode.DEADLINE_PASSED, Duration.ofSeconds(1));
    }
    admitWaiting();
  }

  /**
   * Returns and forgets the decisions made since the last call.
   *
   * @return decisions, in order
   */
  public List<AdmissionDecision> drain() {
    List<AdmissionDecision> result = List.copyOf(decisions);
    decisions.clear();
    return result;
  }

  private void admitWaiting() {
    List<Waiting> ordered = new ArrayList<>(queue.values());
    ordered.sort((left, right) -> Integer.compare(rank(left.request), rank(right.request)));
    for (Waiting waiting : ordered) {
      choose(waiting.request).ifPresent(server -> grant(waiting.request, server));
    }
  }

  private int rank(PermitRequest request) {
    return configuration
        .priorityClass(request.priorityClass())
        .map(PriorityClass::rank)
        .orElse(LOWEST_RANK);
  }

  private Optional<ServerState> choose(PermitRequest request) {
    return servers.values().stream()
        .filter(this::isInService)
        .filter(server -> !request.excluded().contains(server.describe().name()))
        .filter(ServerState::hasRoom)
        .min((left, right) -> Integer.compare(left.open, right.open));
  }

  private boolean isInService(ServerState server) {
    return configuration.isInService(server.describe());
  }

  private void grant(PermitRequest request, ServerState server) {
    Permit permit = new Permit(request.id(), id, server.describe().name(), epoch);
    queue.remove(request.id());
    running.put(request.id(), permit);
    server.open++;
    server.unconfirmed.add(request.id());
    decisions.add(new AdmissionDecision.Granted(permit));
  }

  private void refuse(PermitRequestId attempt, ResultCode code, Duration retryAfter) {
    decisions.add(
        new AdmissionDecision.Refused(attempt, code, "shard " + id, retryAfter.toMillis()));
  }

  private Optional<ServerState> server(PermitRequestId attempt) {
    return Optional.ofNullable(running.get(attempt))
        .flatMap(permit -> Optional.ofNullable(servers.get(permit.server())));
  }
}
