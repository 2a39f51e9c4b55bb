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
 * Connects the claim coordinator of this daemon to the claims log and to its peers. State is
 * confined to the control thread.
 */
final class ClaimService implements ClaimClient, LogTailer.Listener {

  /** Sends messages to the processes that made claims. */
  interface PeerSender {

    /**
     * Sends a message to the process that made a claim.
     *
     * @param claim claim that identifies the receiver
     * @param message message to send
     * @return false if that process no longer runs or cannot be reached
     */
    boolean send(ClaimId claim, PeerMessage message);
  }

  private static final StructuredLog LOG = StructuredLog.of(ClaimService.class);

  private final Vertx vertx;
  private final Clock clock;
  private final ControlThread controlThread;
  private final AppendOnlyLog log;
  private final String stream;
  private final PeerSender peers;
  private final ClaimCoordinator coordinator;
  private final LogTailer tailer;
  private final Map<ClaimId, Consumer<ClaimOutcome>> pendingClaims = new HashMap<>();
  private Optional<TickTimer> nextTick = Optional.empty();

  /** Timer for the next tick of the coordinator, with the time at which it fires. */
  private record TickTimer(long timerId, Instant at) {}

  ClaimService(
      Vertx vertx,
      ControlThread controlThread,
      Clock clock,
      AppendOnlyLog log,
      Settings.Platform platform,
      Member self,
      PeerSender peers) {
    this.vertx = vertx;
    this.clock = clock;
    this.controlThread = controlThread;
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

  void setAppendingNodes(int nodes) {
    coordinator.setAppendingNodes(Math.max(1, nodes));
  }

  @Override
  public void onPage(Instant sentAt, LogPage page) {
    List<ClaimCoordinator.OffsetBatch> batches = new ArrayList<>();
    for (LogPage.LogEntry entry : page.records()) {
      ClaimBatch batch =
          Json.readRecord(entry.value(), ClaimBatch.class)
              .onFailure(cause -> LOG.error("claim_unreadable", field("offset", entry.offset())))
              .getOrElse(new ClaimBatch(List.of()));
      batches.add(new ClaimCoordinator.OffsetBatch(entry.offset(), batch));
    }
    coordinator.recordsRead(page.earliest(), batches);
    performActions();
  }

  @Override
  public void onReadFailed() {
    coordinator.logUnavailable();
    performActions();
  }

  @Override
  public void claim(
      AccountName account,
      String key,
      String fingerprint,
      Instant deadline,
      Consumer<ClaimOutcome> answer) {
    Context caller = Vertx.currentContext();
    controlThread.run(
        () -> {
          ClaimId id = coordinator.submit(account, key, fingerprint, deadline);
          pendingClaims.put(id, outcome -> caller.runOnContext(ignored -> answer.accept(outcome)));
          performActions();
        });
  }

  @Override
  public void tryStart(ClaimId id, Consumer<Boolean> answer) {
    Context caller = Vertx.currentContext();
    controlThread.run(
        () -> {
          boolean mayStart = coordinator.tryStart(id);
          performActions();
          caller.runOnContext(ignored -> answer.accept(mayStart));
        });
  }

  @Override
  public void reportCompleted(ClaimId id, Optional<StoredResponse> answer) {
    controlThread.run(
        () -> {
          coordinator.completed(id, answer);
          performActions();
        });
  }

  @Override
  public void reportOutcomeUnknown(ClaimId id) {
    controlThread.run(
        () -> {
          coordinator.outcomeUnknown(id);
          performActions();
        });
  }

  @Override
  public void reportNotRun(ClaimId id) {
    controlThread.run(
        () -> {
          coordinator.notRun(id);
          pendingClaims.remove(id);
          performActions();
        });
  }

  PeerMessage.ClaimReply answerQuery(PeerMessage.ClaimQuery query) {
    return new PeerMessage.ClaimReply(
        query.asker(), query.claim(), coordinator.statusOf(query.key(), query.claim()));
  }

  void onReply(PeerMessage.ClaimReply reply) {
    coordinator.statusReceived(reply.asker(), reply.claim(), reply.answer());
    performActions();
  }

  private void performActions() {
    for (ClaimAction action : coordinator.drain()) {
      switch (action) {
        case ClaimAction.Append append -> append(append);
        case ClaimAction.Dispatch dispatch ->
            deliverOutcome(dispatch.id(), new ClaimOutcome.Permitted(dispatch.id()));
        case ClaimAction.Refuse refuse ->
            deliverOutcome(refuse.id(), new ClaimOutcome.Denied(refuse.refusal()));
        case ClaimAction.Replay answer ->
            deliverOutcome(answer.id(), new ClaimOutcome.Repeated(answer.response()));
        case ClaimAction.QueryClaim ask -> queryPeer(ask);
      }
    }
    scheduleTick();
  }

  /**
   * Sets a timer for the next time at which the coordinator has work. There is no periodic tick,
   * because a daemon without claims must not wake up for them.
   */
  private void scheduleTick() {
    Optional<Instant> dueAt = coordinator.nextTick();
    if (dueAt.isEmpty()
        || nextTick.filter(timer -> !dueAt.get().isBefore(timer.at())).isPresent()) {
      return;
    }
    nextTick.ifPresent(timer -> vertx.cancelTimer(timer.timerId()));
    long delay = Duration.between(clock.instant(), dueAt.get()).toMillis();
    long timerId = vertx.setTimer(Math.max(1, delay), fired -> tick());
    nextTick = Optional.of(new TickTimer(timerId, dueAt.get()));
  }

  private void tick() {
    nextTick = Optional.empty();
    coordinator.tick();
    performActions();
  }

  private void append(ClaimAction.Append append) {
    log.append(stream, Json.write(append.record()))
        .onSuccess(offset -> coordinator.appendSucceeded(append.batch()))
        .onFailure(cause -> coordinator.appendTimedOut(append.batch()))
        .onComplete(done -> performActions());
  }

  private void queryPeer(ClaimAction.QueryClaim ask) {
    boolean sent =
        peers.send(ask.claim(), new PeerMessage.ClaimQuery(ask.id(), ask.key(), ask.claim()));
    if (!sent) {
      coordinator.peerUnreachable(ask.id(), ask.claim());
      vertx.runOnContext(ignored -> performActions());
    }
  }

  /**
   * Delivers the outcome of a claim to the waiting request. A claim stays registered after its
   * request was permitted, because the right to send it can still lapse; the refusal that the
   * coordinator then returns has no receiver and is only logged.
   */
  private void deliverOutcome(ClaimId id, ClaimOutcome outcome) {
    Consumer<ClaimOutcome> answer = pendingClaims.remove(id);
    if (answer != null) {
      answer.accept(outcome);
    } else if (outcome instanceof ClaimOutcome.Denied denied) {
      LOG.debug("claim_lapsed", field("attempt", id), field("reason", denied.refusal().code()));
    }
  }
}
