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
import org.cactusseam.logic.quarantine.QuarantineTable;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
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
 * Carries this daemon's questions for permits to the owners of the shards, asks again while an
 * attempt waits, and keeps the attempts that run so that a new owner can be told. State lives on
 * the control thread.
 */
final class PermitRouter implements AdmissionClient {

  /** Sends a message to a node, which may be this daemon itself. */
  interface Sender {

    /**
     * Sends a message.
     *
     * @param node receiver
     * @param message message
     */
    void send(NodeName node, PeerMessage message);
  }

  private static final Duration VALIDITY = Duration.ofMillis(Permit.VALIDITY_MILLIS);

  /** Half of the validity, so that a waiting attempt always has a question that is young enough. */
  private static final Duration ASK_INTERVAL = Duration.ofMillis(500);

  /**
   * Time between questions to nodes that may not grant yet. A planned handover takes about as long.
   */
  private static final Duration ASK_INTERVAL_WITHOUT_OWNER = Duration.ofMillis(250);

  /**
   * Without an answer of a node that may grant for this long, the shard counts as without owner and
   * the caller tries elsewhere.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private static final Duration RETRY_WITHOUT_OWNER = Duration.ofSeconds(2);

  private final ControlThread thread;
  private final Clock clock;
  private final Function<ShardId, Optional<NodeName>> owners;
  private final LongSupplier viewOffset;
  private final Sender sender;
  private final Map<PermitRequestId, Question> questions = new HashMap<>();
  private final Map<PermitRequestId, Running> running = new HashMap<>();
  private final Map<PermitRequestId, Held> held = new HashMap<>();
  private final Map<ShardId, NodeName> informedOwners = new HashMap<>();
  private final ShardOutages outages;

  /** A failure that waits for the owner; the callbacks are empty until someone waits. */
  private static final class Held {
    final Instant until;
    final List<Runnable> callbacks = new ArrayList<>();

    Held(Instant until) {
      this.until = until;
    }
  }

  private static final class Question {
    final PermitRequest request;
    final Consumer<PermitAnswer> answer;
    final Instant deadline;
    final List<Instant> rounds = new ArrayList<>();
    Optional<NodeName> askedNode = Optional.empty();
    Instant lastAnswer;
    boolean withoutOwner;

    Question(PermitRequest request, Consumer<PermitAnswer> answer, Instant now) {
      this.request = request;
      this.answer = answer;
      this.deadline = now.plusMillis(request.timeToDeadlineMillis());
      this.lastAnswer = now;
    }
  }

  private static final class Running {
    final PermitRequest request;
    final Permit permit;
    long tokens;

    Running(PermitRequest request, Permit permit) {
      this.request = request;
      this.permit = permit;
    }
  }

  PermitRouter(
      ControlThread thread,
      Clock clock,
      Function<ShardId, Optional<NodeName>> owners,
      LongSupplier viewOffset,
      Duration takeoverLimit,
      Sender sender) {
    this.viewOffset = viewOffset;
    this.outages = new ShardOutages(takeoverLimit);
    this.thread = thread;
    this.clock = clock;
    this.owners = owners;
    this.sender = sender;
  }

  @Override
  public void ask(PermitRequest request, Consumer<PermitAnswer> answer) {
    Context caller = Vertx.currentContext();
    Consumer<PermitAnswer> onCaller =
        result -> caller.runOnContext(ignored -> answer.accept(result));
    thread.run(() -> start(request, onCaller));
  }

  @Override
  public void withdraw(PermitRequestId attempt) {
    thread.run(
        () -> {
          Question question = questions.remove(attempt);
          if (question != null) {
            sendEnded(question.request.shard(), attempt, AttemptEnd.NOT_SENT, 0);
          }
        });
  }

  @Override
  public void confirmed(ShardId shard, PermitRequestId attempt, BackendCondition condition) {
    thread.run(
        () -> {
          send(shard, new PeerMessage.ResponseStarted(shard, attempt, condition));
        });
  }

  @Override
  public void progress(PermitRequestId attempt, long tokens) {
    thread.run(
        () -> {
          Running entry = running.get(attempt);
          if (entry != null) {
            entry.tokens = tokens;
          }
        });
  }

  @Override
  public void ended(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens) {
    thread.run(
        () -> {
          running.remove(attempt);
          if (end == AttemptEnd.BROKEN) {
            held.put(attempt, new Held(clock.instant().plus(QuarantineTable.FAILURE_HOLD_LIMIT)));
          }
          sendEnded(shard, attempt, end, tokens);
        });
  }

  @Override
  public void whenReleased(PermitRequestId attempt, Runnable then) {
    Context caller = Vertx.currentContext();
    Runnable onCaller = () -> caller.runOnContext(ignored -> then.run());
    thread.run(
        () -> {
          Held failure = held.get(attempt);
          if (failure == null) {
            onCaller.run();
          } else {
            failure.callbacks.add(onCaller);
          }
        });
  }

  /**
   * Passes on a failure that was held back.
   *
   * @param attempt attempt that failed
   */
  void released(PermitRequestId attempt) {
    Held failure = held.remove(attempt);
    if (failure != null) {
      failure.callbacks.forEach(Runnable::run);
    }
  }

  /** Asks for a permit on the control thread; the answer comes there as well. */
  void start(PermitRequest request, Consumer<PermitAnswer> answer) {
    Instant now = clock.instant();
    if (owners.apply(request.shard()).isEmpty()) {
      outages.noted(request.shard(), now);
      if (!outages.isTakeoverExpected(request.shard(), now)) {
        answer.accept(noOwner(request.shard()));
        return;
      }
    }
    Question question = new Question(request, answer, now);
    questions.put(request.id(), question);
    sendRound(question);
  }

  private void sendRound(Question question) {
    Instant now = clock.instant();
    question.rounds.add(now);
    question.askedNode = owners.apply(question.request.shard());
    PermitRequest request =
        withPatience(question.request, Duration.between(now, question.deadline));
    send(
        request.shard(),
        new PeerMessage.AskPermit(request, question.rounds.size() - 1, viewOffset.getAsLong()));
  }

  private static PermitRequest withPatience(PermitRequest request, Duration patience) {
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
        patience.toMillis(),
        request.excluded(),
        request.fingerprint());
  }

  /**
   * Takes a decision of an owner.
   *
   * @param decision decision
   * @param round number of the last question that the owner had read
   */
  void decided(AdmissionDecision decision, int round) {
    Question question = questions.get(decision.id());
    switch (decision) {
      case AdmissionDecision.Queued queued -> {
        if (question != null) {
          question.lastAnswer = clock.instant();
          question.withoutOwner = false;
          outages.ended(question.request.shard());
        }
      }
      case AdmissionDecision.Refused refused -> {
        if (question != null) {
          refused(question, refused);
        }
      }
      case AdmissionDecision.Granted granted -> granted(question, granted.permit(), round);
    }
  }

  /**
   * A node that may not grant has not decided about the attempt. During a change of owner the
   * attempt stays, so that a planned handover refuses nobody.
   */
  private void refused(Question question, AdmissionDecision.Refused refused) {
    ShardId shard = question.request.shard();
    Instant now = clock.instant();
    if (refused.code() == ResultCode.NO_ADMISSION) {
      outages.noted(shard, now);
      if (outages.isTakeoverExpected(shard, now)) {
        question.withoutOwner = true;
        return;
      }
    } else {
      outages.ended(shard);
    }
    questions.remove(refused.id());
    question.answer.accept(
        new PermitAnswer.Denied(
            new Refusal(
                refused.code(), refused.detail(), Duration.ofMillis(refused.retryAfterMillis()))));
  }

  private void granted(@Nullable Question question, Permit permit, int round) {
    if (question == null) {
      if (!running.containsKey(permit.id())) {
        sendEnded(permit.shard(), permit.id(), AttemptEnd.NOT_SENT, 0);
      }
      return;
    }
    questions.remove(permit.id());
    boolean known = round >= 0 && round < question.rounds.size();
    Instant validUntil = known ? question.rounds.get(round).plus(VALIDITY) : Instant.MIN;
    if (!clock.instant().isBefore(validUntil)) {
      sendEnded(permit.shard(), permit.id(), AttemptEnd.NOT_SENT, 0);
      withoutOwner(question, "the permit came too late");
      return;
    }
    outages.ended(permit.shard());
    running.put(permit.id(), new Running(question.request, permit));
    question.answer.accept(new PermitAnswer.Granted(permit, validUntil));
  }

  /** Asks again for attempts that wait and gives up those without an answer. */
  void tick() {
    Instant now = clock.instant();
    List<PermitRequestId> overdue =
        held.entrySet().stream()
            .filter(entry -> !now.isBefore(entry.getValue().until))
            .map(Map.Entry::getKey)
            .toList();
    overdue.forEach(this::released);
    for (Question question : List.copyOf(questions.values())) {
      if (!now.isBefore(question.deadline)) {
        giveUp(question);
        question.answer.accept(
            new PermitAnswer.Denied(
                new Refusal(
                    ResultCode.DEADLINE_PASSED,
                    "deadline passed while waiting",
                    RETRY_WITHOUT_OWNER)));
      } else if (now.isAfter(question.lastAnswer.plus(ANSWER_TIMEOUT))) {
        giveUp(question);
        withoutOwner(question, "no answer from an owner of the shard");
      } else if (isRoundDue(question, now)) {
        sendRound(question);
      }
    }
  }

  private boolean isRoundDue(Question question, Instant now) {
    Duration interval = question.withoutOwner ? ASK_INTERVAL_WITHOUT_OWNER : ASK_INTERVAL;
    Instant lastRound = question.rounds.get(question.rounds.size() - 1);
    return !now.isBefore(lastRound.plus(interval));
  }

  /** Asks the next owner at once for attempts that asked an earlier one. */
  void ownersChanged() {
    for (Question question : questions.values()) {
      if (!question.askedNode.equals(owners.apply(question.request.shard()))) {
        sendRound(question);
      }
    }
  }

  private void giveUp(Question question) {
    questions.remove(question.request.id());
    sendEnded(question.request.shard(), question.request.id(), AttemptEnd.NOT_SENT, 0);
  }

  /** Ends a question that got no decision. */
  private void withoutOwner(Question question, String detail) {
    ShardId shard = question.request.shard();
    Instant now = clock.instant();
    outages.noted(shard, now);
    Refusal refusal = new Refusal(ResultCode.NO_ADMISSION, detail, RETRY_WITHOUT_OWNER);
    question.answer.accept(
        outages.isTakeoverExpected(shard, now)
            ? new PermitAnswer.WithoutOwner(refusal)
            : new PermitAnswer.Denied(refusal));
  }

  /**
   * Sends the owners of all shards the attempts that run, and tells new owners their details.
   *
   * @param boot identity of this daemon's run
   */
  void sendInventories(String boot) {
    Map<ShardId, List<PeerMessage.RunningAttempt>> open = new TreeMap<>();
    informedOwners.keySet().forEach(shard -> open.put(shard, new ArrayList<>()));
    for (Running entry : running.values()) {
      open.computeIfAbsent(entry.permit.shard(), shard -> new ArrayList<>())
          .add(new PeerMessage.RunningAttempt(entry.permit.id().sequence(), entry.tokens));
    }
    open.forEach((shard, attempts) -> sendInventory(shard, boot, attempts));
  }

  private void sendInventory(
      ShardId shard, String boot, List<PeerMessage.RunningAttempt> attempts) {
    Optional<NodeName> owner = owners.apply(shard);
    if (owner.isEmpty()) {
      return;
    }
    NodeName before = informedOwners.put(shard, owner.get());
    if (before != null && !before.equals(owner.get())) {
      adopt(shard, owner.get());
    }
    sender.send(owner.get(), new PeerMessage.RunningAttempts(shard, boot, attempts));
    if (attempts.isEmpty()) {
      informedOwners.remove(shard);
    }
  }

  private void adopt(ShardId shard, NodeName owner) {
    for (Running entry : running.values()) {
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

  private static PermitAnswer noOwner(ShardId shard) {
    return new PermitAnswer.Denied(
        new Refusal(
            ResultCode.NO_ADMISSION, "shard " + shard + " has no owner", RETRY_WITHOUT_OWNER));
  }
}
