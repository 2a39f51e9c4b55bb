package org.cactusseam.edge.control;

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
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.cactusseam.logic.quarantine.QuarantineTable;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Requests permits from the owners of the shards for this daemon, and repeats a request while the
 * attempt is queued. Keeps the running attempts, so that they can be transferred to a new owner.
 * State is confined to the control thread.
 */
final class PermitRouter implements AdmissionClient {

  /** Sends messages to entry daemons, including this one. */
  interface Sender {

    /**
     * Sends a message.
     *
     * @param node VM of the receiver
     * @param message message to send
     */
    void send(NodeName node, PeerMessage message);
  }

  private static final Duration PERMIT_VALIDITY = Duration.ofMillis(Permit.VALIDITY_MILLIS);

  /**
   * Half of the validity of a permit, which counts from the request, so that a permit for a queued
   * attempt always answers a recent enough request.
   */
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(500);

  /**
   * Time between two requests to daemons that may not grant permits yet. A planned handover takes
   * about as long.
   */
  private static final Duration REQUEST_INTERVAL_WITHOUT_OWNER = Duration.ofMillis(250);

  /**
   * Time without an answer from a daemon that may grant permits, after which the shard counts as
   * having no owner and the caller tries another one.
   */
  private static final Duration OWNER_TIMEOUT = Duration.ofSeconds(1);

  private static final Duration RETRY_AFTER_WITHOUT_OWNER = Duration.ofSeconds(2);

  private final ControlThread controlThread;
  private final Clock clock;
  private final Function<ShardId, Optional<NodeName>> owners;
  private final LongSupplier viewOffset;
  private final Predicate<PoolName> isRolledOut;
  private final Sender sender;
  private final Map<PermitRequestId, PendingRequest> pendingRequests = new HashMap<>();
  private final Map<PermitRequestId, PermittedAttempt> runningAttempts = new HashMap<>();
  private final Map<PermitRequestId, HeldFailure> heldFailures = new HashMap<>();
  private final Map<ShardId, NodeName> informedOwners = new HashMap<>();
  private final ShardOutages outages;

  /**
   * A failed attempt whose failure is held back until the owner acknowledges it; callbacks are
   * added when a thread waits for that.
   */
  private static final class HeldFailure {
    final Instant releaseAt;
    final List<Runnable> callbacks = new ArrayList<>();

    HeldFailure(Instant releaseAt) {
      this.releaseAt = releaseAt;
    }
  }

  private static final class PendingRequest {
    final PermitRequest request;
    final Consumer<PermitAnswer> answer;
    final Instant deadline;
    final List<Instant> rounds = new ArrayList<>();
    Optional<NodeName> askedVm = Optional.empty();
    Instant lastAnswerAt;
    boolean withoutOwner;

    PendingRequest(PermitRequest request, Consumer<PermitAnswer> answer, Instant now) {
      this.request = request;
      this.answer = answer;
      this.deadline = now.plusMillis(request.timeToDeadlineMillis());
      this.lastAnswerAt = now;
    }
  }

  private static final class PermittedAttempt {
    final PermitRequest request;
    final Permit permit;
    final Instant grantedAt;
    Optional<Instant> firstTokenAt = Optional.empty();
    boolean failed;
    long tokens;

    PermittedAttempt(PermitRequest request, Permit permit, Instant now) {
      this.request = request;
      this.permit = permit;
      this.grantedAt = now;
    }
  }

  PermitRouter(
      ControlThread controlThread,
      Clock clock,
      Function<ShardId, Optional<NodeName>> owners,
      LongSupplier viewOffset,
      Duration takeoverLimit,
      Predicate<PoolName> isRolledOut,
      Sender sender) {
    this.isRolledOut = isRolledOut;
    this.viewOffset = viewOffset;
    this.outages = new ShardOutages(takeoverLimit);
    this.controlThread = controlThread;
    this.clock = clock;
    this.owners = owners;
    this.sender = sender;
  }

  @Override
  public void requestPermit(PermitRequest request, Consumer<PermitAnswer> answer) {
    Context caller = Vertx.currentContext();
    Consumer<PermitAnswer> onCaller =
        result -> caller.runOnContext(ignored -> answer.accept(result));
    controlThread.run(() -> startRequest(request, onCaller));
  }

  @Override
  public void withdraw(PermitRequestId attempt) {
    controlThread.run(
        () -> {
          PendingRequest pending = pendingRequests.remove(attempt);
          if (pending != null) {
            sendEnded(pending.request.shard(), attempt, AttemptEnd.NOT_SENT, 0);
          }
        });
  }

  @Override
  public void reportResponseStarted(
      ShardId shard, PermitRequestId attempt, BackendCondition condition) {
    controlThread.run(
        () -> {
          send(shard, new PeerMessage.ResponseStarted(shard, attempt, condition));
        });
  }

  @Override
  public void reportProgress(PermitRequestId attempt, long tokens) {
    controlThread.run(
        () -> {
          PermittedAttempt entry = runningAttempts.get(attempt);
          if (entry != null) {
            entry.tokens = tokens;
            if (entry.firstTokenAt.isEmpty()) {
              entry.firstTokenAt = Optional.of(clock.instant());
            }
          }
        });
  }

  @Override
  public void reportEnd(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens) {
    controlThread.run(
        () -> {
          PermittedAttempt entry = runningAttempts.remove(attempt);
          if (entry != null && isRolledOut.test(shard.pool())) {
            sendResponse(entry, end);
          }
          if (end == AttemptEnd.BROKEN) {
            heldFailures.put(
                attempt, new HeldFailure(clock.instant().plus(QuarantineTable.FAILURE_HOLD_LIMIT)));
          }
          sendEnded(shard, attempt, end, tokens);
        });
  }

  @Override
  public void reportFailure(PermitRequestId attempt) {
    controlThread.run(
        () -> {
          PermittedAttempt entry = runningAttempts.get(attempt);
          if (entry != null) {
            entry.failed = true;
          }
        });
  }

  /**
   * Reports a response. An attempt that was refused, cancelled or not sent has none; the owner
   * counts one that was slow before it was cancelled.
   */
  private void sendResponse(PermittedAttempt entry, AttemptEnd end) {
    boolean failed = entry.failed || end == AttemptEnd.BROKEN;
    if (failed || end == AttemptEnd.COMPLETED) {
      Instant respondedAt = entry.firstTokenAt.orElseGet(clock::instant);
      long millis = Duration.between(entry.grantedAt, respondedAt).toMillis();
      Permit permit = entry.permit;
      RouteName route = entry.request.route();
      send(
          permit.shard(),
          new PeerMessage.AttemptResponse(
              permit.shard(), permit.id(), permit.server(), route, failed, millis));
    }
  }

  @Override
  public void whenReleased(PermitRequestId attempt, Runnable callback) {
    Context caller = Vertx.currentContext();
    Runnable onCaller = () -> caller.runOnContext(ignored -> callback.run());
    controlThread.run(
        () -> {
          HeldFailure failure = heldFailures.get(attempt);
          if (failure == null) {
            onCaller.run();
          } else {
            failure.callbacks.add(onCaller);
          }
        });
  }

  /**
   * Releases a failure that was held back and runs its callbacks.
   *
   * @param attempt attempt that failed
   */
  void releaseFailure(PermitRequestId attempt) {
    HeldFailure failure = heldFailures.remove(attempt);
    if (failure != null) {
      failure.callbacks.forEach(Runnable::run);
    }
  }

  /**
   * Requests a permit. Must be called on the control thread, on which the answer is delivered as
   * well.
   */
  void startRequest(PermitRequest request, Consumer<PermitAnswer> answer) {
    Instant now = clock.instant();
    if (owners.apply(request.shard()).isEmpty()) {
      outages.recordOutage(request.shard(), now);
      if (!outages.isTakeoverExpected(request.shard(), now)) {
        answer.accept(deniedWithoutOwner(request.shard()));
        return;
      }
    }
    PendingRequest pending = new PendingRequest(request, answer, now);
    pendingRequests.put(request.id(), pending);
    sendRound(pending);
  }

  private void sendRound(PendingRequest pending) {
    Instant now = clock.instant();
    pending.rounds.add(now);
    pending.askedVm = owners.apply(pending.request.shard());
    PermitRequest request =
        withTimeToDeadline(pending.request, Duration.between(now, pending.deadline));
    send(
        request.shard(),
        new PeerMessage.AskPermit(request, pending.rounds.size() - 1, viewOffset.getAsLong()));
  }

  private static PermitRequest withTimeToDeadline(PermitRequest request, Duration timeToDeadline) {
    return new PermitRequest(
        request.id(),
        request.shard(),
        request.request(),
        request.account(),
        request.priorityClass(),
        request.route(),
        request.promptTokens(),
        request.prefixHashes(),
        request.maximumTokens(),
        timeToDeadline.toMillis(),
        request.excluded(),
        request.fingerprint());
  }

  /**
   * Handles the decision of an owner.
   *
   * @param decision decision about one attempt
   * @param round number of the last request for the attempt that the owner had received
   */
  void onDecision(AdmissionDecision decision, int round) {
    PendingRequest pending = pendingRequests.get(decision.id());
    switch (decision) {
      case AdmissionDecision.Queued queued -> {
        if (pending != null) {
          pending.lastAnswerAt = clock.instant();
          pending.withoutOwner = false;
          outages.clear(pending.request.shard());
        }
      }
      case AdmissionDecision.Refused refused -> {
        if (pending != null) {
          onRefused(pending, refused);
        }
      }
      case AdmissionDecision.Granted granted -> onGranted(pending, granted.permit(), round);
    }
  }

  /**
   * Handles a refusal. A refusal by a daemon that may not grant permits is no decision about the
   * attempt: while a change of owner is likely, the attempt stays queued, so that a planned
   * handover causes no refusals.
   */
  private void onRefused(PendingRequest pending, AdmissionDecision.Refused refused) {
    ShardId shard = pending.request.shard();
    Instant now = clock.instant();
    if (refused.code() == ResultCode.NO_ADMISSION) {
      outages.recordOutage(shard, now);
      if (outages.isTakeoverExpected(shard, now)) {
        pending.withoutOwner = true;
        return;
      }
    } else {
      outages.clear(shard);
    }
    pendingRequests.remove(refused.id());
    pending.answer.accept(
        new PermitAnswer.Denied(
            new Refusal(
                refused.code(), refused.detail(), Duration.ofMillis(refused.retryAfterMillis()))));
  }

  private void onGranted(@Nullable PendingRequest pending, Permit permit, int round) {
    if (pending == null) {
      if (!runningAttempts.containsKey(permit.id())) {
        sendEnded(permit.shard(), permit.id(), AttemptEnd.NOT_SENT, 0);
      }
      return;
    }
    pendingRequests.remove(permit.id());
    boolean isKnownRound = round >= 0 && round < pending.rounds.size();
    Instant validUntil =
        isKnownRound ? pending.rounds.get(round).plus(PERMIT_VALIDITY) : Instant.MIN;
    if (!clock.instant().isBefore(validUntil)) {
      sendEnded(permit.shard(), permit.id(), AttemptEnd.NOT_SENT, 0);
      endWithoutOwner(pending, "the permit came too late");
      return;
    }
    outages.clear(permit.shard());
    runningAttempts.put(
        permit.id(), new PermittedAttempt(pending.request, permit, clock.instant()));
    pending.answer.accept(new PermitAnswer.Granted(permit, validUntil));
  }

  /**
   * Repeats the requests of queued attempts, withdraws those without an answer, and releases
   * failures that were held back for too long.
   */
  void tick() {
    Instant now = clock.instant();
    List<PermitRequestId> expired =
        heldFailures.entrySet().stream()
            .filter(entry -> !now.isBefore(entry.getValue().releaseAt))
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::releaseFailure);
    for (PendingRequest pending : List.copyOf(pendingRequests.values())) {
      if (!now.isBefore(pending.deadline)) {
        withdrawPending(pending);
        pending.answer.accept(
            new PermitAnswer.Denied(
                new Refusal(
                    ResultCode.DEADLINE_PASSED,
                    "deadline passed while waiting",
                    RETRY_AFTER_WITHOUT_OWNER)));
      } else if (now.isAfter(pending.lastAnswerAt.plus(OWNER_TIMEOUT))) {
        withdrawPending(pending);
        endWithoutOwner(pending, "no answer from an owner of the shard");
      } else if (isRoundDue(pending, now)) {
        sendRound(pending);
      }
    }
  }

  private boolean isRoundDue(PendingRequest pending, Instant now) {
    Duration interval = pending.withoutOwner ? REQUEST_INTERVAL_WITHOUT_OWNER : REQUEST_INTERVAL;
    Instant lastRound = pending.rounds.get(pending.rounds.size() - 1);
    return !now.isBefore(lastRound.plus(interval));
  }

  /** Sends the pending requests whose shard has another owner now to that owner at once. */
  void onOwnersChanged() {
    for (PendingRequest pending : pendingRequests.values()) {
      if (!pending.askedVm.equals(owners.apply(pending.request.shard()))) {
        sendRound(pending);
      }
    }
  }

  private void withdrawPending(PendingRequest pending) {
    pendingRequests.remove(pending.request.id());
    sendEnded(pending.request.shard(), pending.request.id(), AttemptEnd.NOT_SENT, 0);
  }

  /** Ends a request that got no decision. */
  private void endWithoutOwner(PendingRequest pending, String detail) {
    ShardId shard = pending.request.shard();
    Instant now = clock.instant();
    outages.recordOutage(shard, now);
    Refusal refusal = new Refusal(ResultCode.NO_ADMISSION, detail, RETRY_AFTER_WITHOUT_OWNER);
    pending.answer.accept(
        outages.isTakeoverExpected(shard, now)
            ? new PermitAnswer.WithoutOwner(refusal)
            : new PermitAnswer.Denied(refusal));
  }

  /**
   * Sends the running attempts to the owners of their shards, with the full details if the owner is
   * new.
   *
   * @param bootId boot ID with which the process of this daemon started
   */
  void sendRunningAttempts(String bootId) {
    Map<ShardId, List<PeerMessage.RunningAttempt>> attemptsByShard = new TreeMap<>();
    informedOwners.keySet().forEach(shard -> attemptsByShard.put(shard, new ArrayList<>()));
    for (PermittedAttempt entry : runningAttempts.values()) {
      attemptsByShard
          .computeIfAbsent(entry.permit.shard(), shard -> new ArrayList<>())
          .add(new PeerMessage.RunningAttempt(entry.permit.id().sequence(), entry.tokens));
    }
    attemptsByShard.forEach((shard, attempts) -> sendRunningAttemptsOf(shard, bootId, attempts));
  }

  private void sendRunningAttemptsOf(
      ShardId shard, String bootId, List<PeerMessage.RunningAttempt> attempts) {
    Optional<NodeName> owner = owners.apply(shard);
    if (owner.isEmpty()) {
      return;
    }
    NodeName previous = informedOwners.put(shard, owner.get());
    if (previous != null && !previous.equals(owner.get())) {
      transferAttempts(shard, owner.get());
    }
    sender.send(owner.get(), new PeerMessage.RunningAttempts(shard, bootId, attempts));
    if (attempts.isEmpty()) {
      informedOwners.remove(shard);
    }
  }

  private void transferAttempts(ShardId shard, NodeName owner) {
    for (PermittedAttempt entry : runningAttempts.values()) {
      if (entry.permit.shard().equals(shard)) {
        sender.send(
            owner, new PeerMessage.TransferAttempt(entry.request, entry.permit, entry.tokens));
      }
    }
  }

  private void sendEnded(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens) {
    send(shard, new PeerMessage.AttemptEnded(shard, attempt, end, tokens));
  }

  private void send(ShardId shard, PeerMessage message) {
    owners.apply(shard).ifPresent(owner -> sender.send(owner, message));
  }

  private static PermitAnswer deniedWithoutOwner(ShardId shard) {
    return new PermitAnswer.Denied(
        new Refusal(
            ResultCode.NO_ADMISSION,
            "shard " + shard + " has no owner",
            RETRY_AFTER_WITHOUT_OWNER));
  }
}
