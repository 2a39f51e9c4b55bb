package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.cactusseam.edge.Json;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.platform.AppendOnlyLog;
import org.cactusseam.edge.platform.LogPage;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.idempotency.ClaimAction;
import org.cactusseam.logic.idempotency.ClaimCoordinator;
import org.cactusseam.logic.idempotency.ClaimSettings;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.claim.ClaimBatch;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.StoredResponse;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;

/**
 * Runs the claims of this daemon against the log and its peers. State lives on the control thread.
 */
final class ClaimService implements ClaimClient, LogTailer.Listener {

  /** Other runs of nodes, as far as this daemon knows. */
  interface Peers {

    /**
     * Sends a message.
     *
     * @param claim claim whose node is the receiver
     * @param message message
     * @return false if that run is gone
     */
    boolean send(ClaimId claim, PeerMessage message);
  }

  private static final StructuredLog LOG = StructuredLog.of(ClaimService.class);

  private final Vertx vertx;
  private final Clock clock;
  private final ControlThread thread;
  private final AppendOnlyLog log;
  private final String stream;
  private final Peers peers;
  private final ClaimCoordinator coordinator;
  private final LogTailer tailer;
  private final Map<ClaimId, Consumer<ClaimOutcome>> waiting = new HashMap<>();
  private Optional<Wakeup> wakeup = Optional.empty();

  /** Timer that is set, and when it fires. */
  private record Wakeup(long timer, Instant at) {}

  ClaimService(
      Vertx vertx,
      ControlThread thread,
      Clock clock,
      AppendOnlyLog log,
      Settings.Platform platform,
      Member self,
      Peers peers) {
    this.vertx = vertx;
    this.clock = clock;
    this.thread = thread;
    this.log = log;
    this.stream = platform.claimsStream();
    this.peers = peers;
    this.coordinator =
        new ClaimCoordinator(
            self.node(), self.boot(), ClaimSettings.of(platform.retention()), clock);
    this.tailer = new LogTailer(vertx, clock, log, stream, coordinator::nextOffset, this);
  }

  void start() {
    tailer.start();
  }

  void stop() {
    tailer.stop();
  }

  void appendingNodes(int nodes) {
    coordinator.setAppendingNodes(Math.max(1, nodes));
  }

  @Override
  public void read(Instant sentAt, LogPage page) {
    List<ClaimCoordinator.OffsetBatch> batches = new ArrayList<>();
    for (LogPage.LogEntry entry : page.records()) {
      ClaimBatch batch =
          Json.readRecord(entry.value(), ClaimBatch.class)
              .onFailure(cause -> LOG.error("claim_unreadable", field("offset", entry.offset())))
              .getOrElse(new ClaimBatch(List.of()));
      batches.add(new ClaimCoordinator.OffsetBatch(entry.offset(), batch));
    }
    coordinator.recordsRead(page.earliest(), batches);
    perform();
  }

  @Override
  public void failed() {
    coordinator.logUnavailable();
    perform();
  }

  @Override
  public void claim(
      AccountName account,
      String key,
      String fingerprint,
      Instant deadline,
      Consumer<ClaimOutcome> answer) {
    Context caller = Vertx.currentContext();
    thread.run(
        () -> {
          ClaimId id = coordinator.submit(account, key, fingerprint, deadline);
          waiting.put(id, outcome -> caller.runOnContext(ignored -> answer.accept(outcome)));
          perform();
        });
  }

  @Override
  public void tryStart(ClaimId id, Consumer<Boolean> answer) {
    Context caller = Vertx.currentContext();
    thread.run(
        () -> {
          boolean entitled = coordinator.tryStart(id);
          perform();
          caller.runOnContext(ignored -> answer.accept(entitled));
        });
  }

  @Override
  public void ran(ClaimId id, Optional<StoredResponse> answer) {
    thread.run(
        () -> {
          coordinator.completed(id, answer);
          perform();
        });
  }

  @Override
  public void outcomeUnknown(ClaimId id) {
    thread.run(
        () -> {
          coordinator.outcomeUnknown(id);
          perform();
        });
  }

  @Override
  public void notRun(ClaimId id) {
    thread.run(
        () -> {
          coordinator.notRun(id);
          waiting.remove(id);
          perform();
        });
  }

  PeerMessage.ClaimReply answer(PeerMessage.ClaimQuery question) {
    return new PeerMessage.ClaimReply(
        question.asker(), question.claim(), coordinator.statusOf(question.key(), question.claim()));
  }

  void answered(PeerMessage.ClaimReply reply) {
    coordinator.statusReceived(reply.asker(), reply.claim(), reply.answer());
    perform();
  }

  private void perform() {
    for (ClaimAction action : coordinator.drain()) {
      switch (action) {
        case ClaimAction.Append append -> append(append);
        case ClaimAction.Dispatch dispatch ->
            settle(dispatch.id(), new ClaimOutcome.Permitted(dispatch.id()));
        case ClaimAction.Refuse refuse ->
            settle(refuse.id(), new ClaimOutcome.Denied(refuse.refusal()));
        case ClaimAction.Replay answer ->
            settle(answer.id(), new ClaimOutcome.Repeated(answer.response()));
        case ClaimAction.QueryClaim ask -> ask(ask);
      }
    }
    schedule();
  }

  /** One timer for the next thing to do: a daemon without claims must not wake up for them. */
  private void schedule() {
    Optional<Instant> next = coordinator.nextTick();
    if (next.isEmpty() || wakeup.filter(set -> !next.get().isBefore(set.at())).isPresent()) {
      return;
    }
    wakeup.ifPresent(set -> vertx.cancelTimer(set.timer()));
    long delay = Duration.between(clock.instant(), next.get()).toMillis();
    long timer = vertx.setTimer(Math.max(1, delay), fired -> tick());
    wakeup = Optional.of(new Wakeup(timer, next.get()));
  }

  private void tick() {
    wakeup = Optional.empty();
    coordinator.tick();
    perform();
  }

  private void append(ClaimAction.Append append) {
    log.append(stream, Json.write(append.record()))
        .onSuccess(offset -> coordinator.appendSucceeded(append.batch()))
        .onFailure(cause -> coordinator.appendTimedOut(append.batch()))
        .onComplete(done -> perform());
  }

  private void ask(ClaimAction.QueryClaim ask) {
    boolean sent =
        peers.send(ask.claim(), new PeerMessage.ClaimQuery(ask.id(), ask.key(), ask.claim()));
    if (!sent) {
      coordinator.peerUnreachable(ask.id(), ask.claim());
      vertx.runOnContext(ignored -> perform());
    }
  }

  /**
   * An attempt that was entitled stays registered, because its right can still lapse into a
   * refusal.
   */
  private void settle(ClaimId id, ClaimOutcome outcome) {
    Consumer<ClaimOutcome> answer = waiting.remove(id);
    if (answer != null) {
      answer.accept(outcome);
    } else if (outcome instanceof ClaimOutcome.Denied denied) {
      LOG.debug("claim_lapsed", field("attempt", id), field("reason", denied.refusal().code()));
    }
  }
}
