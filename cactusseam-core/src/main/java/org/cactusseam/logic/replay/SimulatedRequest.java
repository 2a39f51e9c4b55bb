package org.cactusseam.logic.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;

/**
 * Simulates one request of a trace, from its arrival at an entry daemon to its last token, refusal
 * or failure.
 */
final class SimulatedRequest {

  private static final int MAXIMUM_ATTEMPTS = 3;

  /** Time after which a permit request without a final decision is sent again. */
  private static final long REQUEST_RETRY_MICROS = 700_000;

  private static final long PROGRESS_INTERVAL_MICROS = 1_000_000;
  private static final int BYTES_PER_PROMPT_TOKEN = 4;
  private static final int BYTES_PER_ANSWER_TOKEN = 180;

  private final ReplayNetwork network;
  private final TraceLine.Request line;
  private final long number;
  private final long arrivedMicros;
  private final List<BackendServerName> excluded = new ArrayList<>();
  private final Set<String> refusedBy = new HashSet<>();
  private int attempts;
  private int tokens;
  private long lastTokenMicros;

  SimulatedRequest(ReplayNetwork network, TraceLine.Request line, long number, long arrivedMicros) {
    this.network = network;
    this.line = line;
    this.number = number;
    this.arrivedMicros = arrivedMicros;
  }

  void start() {
    network.statistics().record(line, LatencyStatistics::recordRequest);
    startAttempt();
  }

  private void startAttempt() {
    SimulatedShardOwner owner =
        network.chooseOwner(line.region(), network.rank(line.priorityClass()), refusedBy);
    if (owner == null) {
      network.statistics().record(line, LatencyStatistics::recordRefusal);
      return;
    }
    new Attempt(owner).sendRequest();
  }

  /**
   * Retries the request if it did not run, or if it is repeatable and has produced no token, with
   * at most {@link #MAXIMUM_ATTEMPTS} attempts. Otherwise counts it as failed.
   */
  private void retryOrFail(boolean ran) {
    boolean mayRepeat = !ran || (line.repeatable() && tokens == 0);
    if (mayRepeat && attempts < MAXIMUM_ATTEMPTS) {
      refusedBy.clear();
      startAttempt();
    } else {
      network.statistics().record(line, LatencyStatistics::recordFailure);
    }
  }

  /** Returns the time left until the deadline of the caller. */
  private long remainingMillis() {
    return line.deadlineMillis() - (network.queue().nowMicros() - arrivedMicros) / 1_000;
  }

  /** One attempt to run the request, with the permit request to one shard owner. */
  private final class Attempt implements SimulatedServer.Stream {
    private final SimulatedShardOwner owner;
    private final PermitRequestId id;
    private final long ownerDelay;
    private long requestedMicros;
    private long serverDelay;
    private boolean decisionReceived;
    private boolean ended;

    Attempt(SimulatedShardOwner owner) {
      this.owner = owner;
      this.ownerDelay = network.latencyMicros(line.region(), owner.region);
      this.id = new PermitRequestId(new NodeName(line.region()), "1", number * 100 + attempts);
      attempts++;
      owner.addRequester(id, this::receiveDecision);
    }

    void sendRequest() {
      requestedMicros = network.queue().nowMicros();
      PermitRequest request = createRequest();
      sendToOwner(() -> owner.apply(shard -> shard.request(request)));
      network.queue().scheduleAfter(REQUEST_RETRY_MICROS, this::retryRequest);
    }

    private void retryRequest() {
      if (!decisionReceived) {
        sendRequest();
      }
    }

    private PermitRequest createRequest() {
      return new PermitRequest(
          id,
          owner.id,
          "r" + number,
          new AccountName(line.account()),
          new PriorityClassName(line.priorityClass()),
          new RouteName(line.route()),
          line.promptTokens(),
          line.prefix(),
          0,
          remainingMillis(),
          excluded,
          "");
    }

    private void sendToOwner(Runnable action) {
      network.queue().scheduleAfter(ownerDelay, action);
    }

    private void receiveDecision(AdmissionDecision decision) {
      network.queue().scheduleAfter(ownerDelay, () -> handleDecision(decision));
    }

    private void handleDecision(AdmissionDecision decision) {
      if (decisionReceived) {
        return;
      }
      switch (decision) {
        case AdmissionDecision.Queued queued -> {}
        case AdmissionDecision.Refused refused -> {
          decisionReceived = true;
          owner.removeRequester(id);
          refusedBy.add(owner.region);
          attempts--;
          startAttempt();
        }
        case AdmissionDecision.Granted granted -> usePermit(granted.permit());
      }
    }

    private void usePermit(Permit permit) {
      decisionReceived = true;
      long age = network.queue().nowMicros() - requestedMicros;
      if (age > Permit.VALIDITY_MILLIS * 1_000) {
        reportEnd(AttemptEnd.NOT_SENT);
        startAttempt();
        return;
      }
      SimulatedServer server = owner.server(permit.server().value());
      serverDelay = network.latencyMicros(line.region(), server.region);
      network.queue().scheduleAfter(serverDelay, () -> submit(server));
    }

    private void submit(SimulatedServer server) {
      countCrossRegion(server, (long) line.promptTokens() * BYTES_PER_PROMPT_TOKEN);
      EngineRequest request =
          new EngineRequest(
              "r" + number + "-" + attempts,
              network.rank(line.priorityClass()),
              line.promptTokens(),
              line.prefix(),
              line.outputTokens(),
              false);
      SubmitResult result = server.submit(request, this);
      switch (result) {
        case ACCEPTED -> handleAcceptance(server);
        case DOWN, TOO_LARGE ->
            network.queue().scheduleAfter(serverDelay, () -> handleRefusal(server));
        case DUPLICATE ->
            throw new IllegalStateException("engine reports a duplicate request: " + request.id());
        default -> excluded.add(server.description.name());
      }
    }

    private void countCrossRegion(SimulatedServer server, long bytes) {
      if (!server.region.equals(line.region())) {
        network.statistics().record(line, statistics -> statistics.addCrossRegionBytes(bytes));
      }
    }

    private void handleAcceptance(SimulatedServer server) {
      BackendCondition condition = server.condition();
      countCrossRegion(server, (long) line.outputTokens() * BYTES_PER_ANSWER_TOKEN);
      network
          .queue()
          .scheduleAfter(
              serverDelay,
              () ->
                  sendToOwner(() -> owner.apply(shard -> shard.recordConfirmation(id, condition))));
      network.queue().scheduleAfter(PROGRESS_INTERVAL_MICROS, this::reportProgress);
    }

    private void handleRefusal(SimulatedServer server) {
      excluded.add(server.description.name());
      reportEnd(AttemptEnd.REFUSED);
      retryOrFail(false);
    }

    private void reportProgress() {
      if (ended) {
        return;
      }
      long count = tokens;
      sendToOwner(() -> owner.apply(shard -> shard.recordProgress(id, count)));
      network.queue().scheduleAfter(PROGRESS_INTERVAL_MICROS, this::reportProgress);
    }

    private void reportEnd(AttemptEnd end) {
      ended = true;
      long count = tokens;
      sendToOwner(
          () -> {
            owner.apply(shard -> shard.recordEnd(id, end, count));
            owner.removeRequester(id);
          });
    }

    @Override
    public void onToken(long atMicros) {
      long deliveredMicros = atMicros + serverDelay + Deployment.CLIENT_LATENCY_MICROS;
      if (tokens == 0) {
        network.statistics().recordFirstToken(line, deliveredMicros - arrivedMicros);
      } else {
        long gap = deliveredMicros - lastTokenMicros;
        network.statistics().record(line, statistics -> statistics.recordGap(gap));
      }
      lastTokenMicros = deliveredMicros;
      tokens++;
    }

    @Override
    public void onPreempted() {
      network.statistics().record(line, LatencyStatistics::recordPreemption);
    }

    @Override
    public void onFinished(long atMicros) {
      if (lastTokenMicros - arrivedMicros <= line.deadlineMillis() * 1_000) {
        network.statistics().record(line, statistics -> statistics.recordGoodRequest(tokens));
      }
      network.queue().scheduleAfter(serverDelay, () -> reportEnd(AttemptEnd.COMPLETED));
    }

    @Override
    public void onCrashed() {
      network
          .queue()
          .scheduleAfter(
              serverDelay,
              () -> {
                reportEnd(AttemptEnd.BROKEN);
                retryOrFail(true);
              });
    }
  }
}
