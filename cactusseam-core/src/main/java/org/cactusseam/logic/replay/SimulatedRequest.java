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

/** One request in a replay, from its arrival at an entry daemon to its last token or refusal. */
final class SimulatedRequest {

  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final long ASK_AGAIN_MICROS = 700_000;
  private static final long PROGRESS_MICROS = 1_000_000;
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
    network.meters().record(line, LatencyStatistics::request);
    askNextOwner();
  }

  private void askNextOwner() {
    SimulatedShardOwner owner =
        network.choose(line.region(), network.rank(line.priorityClass()), refusedBy);
    if (owner == null) {
      network.meters().record(line, LatencyStatistics::refused);
      return;
    }
    new Attempt(owner).ask();
  }

  private void retryOrFail(boolean ran) {
    boolean mayRepeat = !ran || (line.repeatable() && tokens == 0);
    if (mayRepeat && attempts < MAXIMUM_ATTEMPTS) {
      refusedBy.clear();
      askNextOwner();
    } else {
      network.meters().record(line, LatencyStatistics::failed);
    }
  }

  private long patienceMillis() {
    return line.deadlineMillis() - (network.queue().nowMicros() - arrivedMicros) / 1_000;
  }

  /** One attempt of the request at one owner. */
  private final class Attempt implements SimulatedServer.Stream {
    private final SimulatedShardOwner owner;
    private final PermitRequestId id;
    private final long ownerDelay;
    private long askedMicros;
    private long serverDelay;
    private boolean settled;
    private boolean over;

    Attempt(SimulatedShardOwner owner) {
      this.owner = owner;
      this.ownerDelay = network.delay(line.region(), owner.region);
      this.id = new PermitRequestId(new NodeName(line.region()), "1", number * 100 + attempts);
      attempts++;
      owner.connect(id, this::decided);
    }

    void ask() {
      askedMicros = network.queue().nowMicros();
      PermitRequest request = request();
      toOwner(() -> owner.apply(shard -> shard.request(request)));
      network.queue().after(ASK_AGAIN_MICROS, this::askAgain);
    }

    private void askAgain() {
      if (!settled) {
        ask();
      }
    }

    private PermitRequest request() {
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
          patienceMillis(),
          excluded,
          "");
    }

    private void toOwner(Runnable action) {
      network.queue().after(ownerDelay, action);
    }

    private void decided(AdmissionDecision decision) {
      network.queue().after(ownerDelay, () -> arrived(decision));
    }

    private void arrived(AdmissionDecision decision) {
      if (settled) {
        return;
      }
      switch (decision) {
        case AdmissionDecision.Queued queued -> {}
        case AdmissionDecision.Refused refused -> {
          settled = true;
          owner.disconnect(id);
          refusedBy.add(owner.region);
          attempts--;
          askNextOwner();
        }
        case AdmissionDecision.Granted granted -> granted(granted.permit());
      }
    }

    private void granted(Permit permit) {
      settled = true;
      long age = network.queue().nowMicros() - askedMicros;
      if (age > Permit.VALIDITY_MILLIS * 1_000) {
        end(AttemptEnd.NOT_SENT);
        askNextOwner();
        return;
      }
      SimulatedServer server = owner.server(permit.server().value());
      serverDelay = network.delay(line.region(), server.region);
      network.queue().after(serverDelay, () -> submit(server));
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
        case ACCEPTED -> accepted(server);
        case DOWN, TOO_LARGE -> network.queue().after(serverDelay, () -> refused(server));
        case DUPLICATE -> throw new IllegalStateException("identity used twice: " + request.id());
        default -> excluded.add(server.description.name());
      }
    }

    private void countCrossRegion(SimulatedServer server, long bytes) {
      if (!server.region.equals(line.region())) {
        network.meters().record(line, meter -> meter.crossRegion(bytes));
      }
    }

    private void accepted(SimulatedServer server) {
      BackendCondition condition = server.condition();
      countCrossRegion(server, (long) line.outputTokens() * BYTES_PER_ANSWER_TOKEN);
      network
          .queue()
          .after(
              serverDelay,
              () -> toOwner(() -> owner.apply(shard -> shard.recordConfirmation(id, condition))));
      network.queue().after(PROGRESS_MICROS, this::progress);
    }

    private void refused(SimulatedServer server) {
      excluded.add(server.description.name());
      end(AttemptEnd.REFUSED);
      retryOrFail(false);
    }

    private void progress() {
      if (over) {
        return;
      }
      long count = tokens;
      toOwner(() -> owner.apply(shard -> shard.recordProgress(id, count)));
      network.queue().after(PROGRESS_MICROS, this::progress);
    }

    private void end(AttemptEnd end) {
      over = true;
      long count = tokens;
      toOwner(
          () -> {
            owner.apply(shard -> shard.recordEnd(id, end, count));
            owner.disconnect(id);
          });
    }

    @Override
    public void token(long atMicros) {
      long seen = atMicros + serverDelay + Deployment.CLIENT_LATENCY_MICROS;
      if (tokens == 0) {
        network.meters().begun(line, seen - arrivedMicros);
      } else {
        long gap = seen - lastTokenMicros;
        network.meters().record(line, meter -> meter.gap(gap));
      }
      lastTokenMicros = seen;
      tokens++;
    }

    @Override
    public void preempted() {
      network.meters().record(line, LatencyStatistics::preempted);
    }

    @Override
    public void finished(long atMicros) {
      if (lastTokenMicros - arrivedMicros <= line.deadlineMillis() * 1_000) {
        network.meters().record(line, meter -> meter.inDeadline(tokens));
      }
      network.queue().after(serverDelay, () -> end(AttemptEnd.COMPLETED));
    }

    @Override
    public void broke() {
      network
          .queue()
          .after(
              serverDelay,
              () -> {
                end(AttemptEnd.BROKEN);
                retryOrFail(true);
              });
    }
  }
}
