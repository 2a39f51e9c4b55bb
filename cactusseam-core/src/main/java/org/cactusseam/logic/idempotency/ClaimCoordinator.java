package org.cactusseam.logic.idempotency;

import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.Multimap;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.claim.ClaimBatch;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimKey;
import org.cactusseam.model.claim.ClaimStatus;
import org.cactusseam.model.claim.StoredResponse;

/**
 * Decides for one run of a node which of its requests that must not run twice may run.
 *
 * <p>An attempt is sent only after its claim was read back from the log as the first claim of its
 * key that is not released. Only the node of a claim releases it, and only after it gave up the
 * attempt for good. Two claims of one key can therefore not both run, whatever the log delays,
 * loses or repeats.
 *
 * <p>A paused node: its claims keep their keys while it stands still, so nobody else runs them. A
 * right to send ends {@link ClaimSettings#dispatchLease} after the claim was read, is renewed by
 * each tick in time while the attempt waits for its permit, and never lasts longer than the
 * deadline; the first call after the pause finds the right or the deadline over, answers "not run"
 * and releases the claim. A node that dies leaves its unreleased claims without a known outcome for
 * good. A restarted node is a new coordinator with a new boot identity.
 *
 * <p>"Not run" is said of one attempt. An earlier attempt with the same key may have run.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ClaimCoordinator {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private enum Outcome {
    RAN,
    MAY_HAVE_RUN
  }

  /** A log record with its offset. */
  public record OffsetBatch(long offset, ClaimBatch batch) {}

  private final NodeName node;
  private final String boot;
  private final ClaimSettings settings;
  private final Clock clock;
  private final ClaimIndex index;
  private final ClaimOutbox outbox = new ClaimOutbox();
  private final ResponseCache answers;
  private final Map<ClaimId, ClaimAttempt> attempts = new LinkedHashMap<>();
  private final Multimap<ClaimKey, ClaimId> attemptsByKey = LinkedHashMultimap.create();
  private final Map<ClaimKey, Map<ClaimId, Outcome>> ended = new HashMap<>();
  private final List<ClaimAction> actions = new ArrayList<>();
  private boolean logAvailable = true;
  private long nextOffset;
  private long sequence;

  /**
   * Starts a run without knowledge of the log; the daemon reads the stream from its first retained
   * record.
   *
   * @param node name of this node
   * @param boot identity of this run, never used before
   * @param settings limits
   * @param clock source of time
   */
  public ClaimCoordinator(NodeName node, String boot, ClaimSettings settings, Clock clock) {
    this.node = node;
    this.boot = boot;
    this.settings = settings;
    this.clock = clock;
    this.index = new ClaimIndex(settings.window().plus(ClaimSettings.CLOCK_TOLERANCE));
    this.answers = new ResponseCache(settings, clock);
  }

  /**
   * Sets the number of nodes that append to the stream, which bounds the rate of each.
   *
   * @param nodes nodes that append, at least 1
   */
  public void appendingNodes(int nodes) {
    outbox.appendingNodes(nodes);
  }

  /**
   * Takes a request on a route that is not repeatable.
   *
   * @param account client account
   * @param keyText value of the header {@code Idempotency-Key}; empty if there was none
   * @param fingerprint hash of account, route and body
   * @param deadline time at which the caller no longer waits
   * @return identity of the attempt, which the actions name
   */
  public ClaimId arrive(AccountName account, String keyText, String fingerprint, Instant deadline) {
    ClaimId id = new ClaimId(node, boot, ++sequence);
    Optional<ClaimKey> key = ClaimKey.parse(account, keyText);
    Optional<Refusal> refusal = key.map(this::judge).orElseGet(() -> Optional.of(keyRequired()));
    if (refusal.isPresent()) {
      actions.add(new ClaimAction.Refuse(id, refusal.get()));
      return id;
    }
    ClaimEntry.Claimed claim = new ClaimEntry.Claimed(key.orElseThrow(), id, fingerprint);
    ClaimAttempt attempt = new ClaimAttempt(claim, deadline);
    attempts.put(id, attempt);
    attemptsByKey.put(claim.key(), id);
    decide(attempt);
    flush();
    return id;
  }

  private static Refusal keyRequired() {
    return Refusal.permanent(
        ResultCode.IDEMPOTENCY_KEY_REQUIRED, "Idempotency-Key must be a UUID of version 7");
  }

  private Optional<Refusal> judge(ClaimKey key) {
    Instant now = clock.instant();
    if (settings.isExpired(key, now)) {
      return Optional.of(
          Refusal.permanent(
              ResultCode.IDEMPOTENCY_KEY_EXPIRED, "the key is older than " + settings.window()));
    }
    if (settings.isInFuture(key, now)) {
      return Optional.of(
          Refusal.permanent(
              ResultCode.IDEMPOTENCY_KEY_REQUIRED, "the time of the key is in the future"));
    }
    return Optional.empty();
  }

  /**
   * Notes that a batch was appended. The batch counts only once it is read, because only the order
   * of the log decides.
   *
   * @param batch number of the batch
   */
  public void appendSucceeded(long batch) {
    logAvailable = true;
    outbox.succeeded(batch);
  }

  /**
   * Notes that the log answered an append with an error. The log counts as unavailable until it
   * answers again.
   *
   * @param batch number of the batch
   */
  public void appendFailed(long batch) {
    outbox.failed(batch);
    logUnavailable();
  }

  /**
   * Notes that an append has no answer. It may still take effect at any later time.
   *
   * @param batch number of the batch
   */
  public void appendTimedOut(long batch) {
    outbox.failed(batch);
    flush();
  }

  /** Notes that the log is unavailable: requests that wait for it are refused immediately. */
  public void logUnavailable() {
    logAvailable = false;
    List<ClaimAttempt> claiming =
        attempts.values().stream()
            .filter(attempt -> attempt.phase == ClaimAttempt.Phase.CLAIMING)
            .toList();
    claiming.forEach(this::refuseWithoutLog);
  }

  private void refuseWithoutLog(ClaimAttempt attempt) {
    refuse(attempt, ResultCode.LOG_UNAVAILABLE, "this attempt was not run", RETRY_AFTER);
  }

  /**
   * Returns the offset from which the daemon reads next.
   *
   * @return log offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Applies records of the stream. Records that the log dropped before they were read are older
   * than its retention, so their keys are no longer accepted.
   *
   * @param earliest first retained offset
   * @param batches records in order; those that were read before are skipped
   */
  public void recordsRead(long earliest, List<OffsetBatch> batches) {
    logAvailable = true;
    nextOffset = Math.max(nextOffset, earliest);
    Set<ClaimKey> touched = new LinkedHashSet<>();
    for (OffsetBatch record : batches) {
      if (record.offset() >= nextOffset) {
        nextOffset = record.offset() + 1;
        record.batch().entries().forEach(entry -> read(entry, touched));
      }
    }
    touched.forEach(this::reconsider);
    flush();
  }

  private void read(ClaimEntry entry, Set<ClaimKey> touched) {
    index.apply(entry);
    outbox.read(entry);
    touched.add(entry.key());
  }

  /** Acts on the claims of a key after the log said something new about it. */
  private void reconsider(ClaimKey key) {
    for (ClaimId id : List.copyOf(attemptsByKey.get(key))) {
      ClaimAttempt attempt = attempts.get(id);
      if (attempt != null) {
        reconsider(attempt);
      }
    }
    index.holder(key).ifPresent(this::releaseIfAbandoned);
  }

  private void reconsider(ClaimAttempt attempt) {
    switch (attempt.phase) {
      case CLAIMING -> {
        if (index.isLive(attempt.claim.key(), attempt.claim.id())) {
          decide(attempt);
        }
      }
      case ASKING, AWAITING_RELEASE -> {
        Optional<ClaimId> holder = index.holder(attempt.claim.key()).map(ClaimEntry.Claimed::id);
        if (!holder.equals(attempt.asked)) {
          decide(attempt);
        }
      }
      default -> {} // an attempt that holds the key cannot lose it to another claim
    }
  }

  /** Frees a key that a claim of this run holds although its attempt was given up. */
  private void releaseIfAbandoned(ClaimEntry.Claimed holder) {
    if (isMine(holder.id()) && answerOf(holder.key(), holder.id()) instanceof ClaimStatus.NotRun) {
      outbox.ensure(new ClaimEntry.Released(holder.key(), holder.id()));
    }
  }

  private boolean isMine(ClaimId id) {
    return id.node().equals(node) && id.boot().equals(boot);
  }

  private void decide(ClaimAttempt attempt) {
    Optional<ClaimEntry.Claimed> holder = index.holder(attempt.claim.key());
    if (holder.isEmpty()) {
      claim(attempt);
    } else if (holder.get().id().equals(attempt.claim.id())) {
      entitle(attempt);
    } else {
      contend(attempt, holder.get());
    }
  }

  private void claim(ClaimAttempt attempt) {
    attempt.phase = ClaimAttempt.Phase.CLAIMING;
    attempt.limit = attempt.deadline;
    if (logAvailable) {
      outbox.add(attempt.claim);
    } else {
      refuseWithoutLog(attempt);
    }
  }

  private void entitle(ClaimAttempt attempt) {
    Instant now = clock.instant();
    if (!now.isBefore(attempt.deadline) || settings.isExpired(attempt.claim.key(), now)) {
      refuseLate(attempt);
      return;
    }
    attempt.entitle(now.plus(settings.dispatchLease()));
    actions.add(new ClaimAction.Dispatch(attempt.claim.id(), attempt.limit));
  }

  private void contend(ClaimAttempt attempt, ClaimEntry.Claimed holder) {
    if (!holder.fingerprint().equals(attempt.claim.fingerprint())) {
      refuse(
          attempt,
          ResultCode.IDEMPOTENCY_KEY_REUSED,
          "the key belongs to another request",
          Duration.ZERO);
      return;
    }
    attempt.asked = Optional.of(holder.id());
    if (holder.id().node().equals(node)) {
      settle(attempt, holder.id(), answer(holder.key(), holder.id()));
      return;
    }
    attempt.phase = ClaimAttempt.Phase.ASKING;
    attempt.limit = clock.instant().plus(settings.answerTimeout());
    actions.add(
        new ClaimAction.Ask(attempt.claim.id(), holder.id().node(), holder.key(), holder.id()));
  }

  /**
   * Answers the question of another node about a claim of this node.
   *
   * @param key idempotency key
   * @param claim claim that the other node read
   * @return what this run knows of it
   */
  public ClaimStatus answer(ClaimKey key, ClaimId claim) {
    return isMine(claim) ? answerOf(key, claim) : new ClaimStatus.Unknown();
  }

  private ClaimStatus answerOf(ClaimKey key, ClaimId claim) {
    if (attempts.containsKey(claim)) {
      return new ClaimStatus.InProgress();
    }
    Optional<Outcome> outcome =
        Optional.ofNullable(ended.get(key)).flatMap(map -> Optional.ofNullable(map.get(claim)));
    if (outcome.isEmpty()) {
      return new ClaimStatus.NotRun();
    }
    return switch (outcome.get()) {
      case MAY_HAVE_RUN -> new ClaimStatus.MayHaveRun();
      case RAN ->
          answers
              .find(claim)
              .<ClaimStatus>map(ClaimStatus.Stored::new)
              .orElseGet(ClaimStatus.Ran::new);
    };
  }

  /**
   * Notes the answer to an {@link ClaimAction.Ask}.
   *
   * @param id attempt that waits for it
   * @param claim claim that was asked about
   * @param answer answer
   */
  public void answered(ClaimId id, ClaimId claim, ClaimStatus answer) {
    ClaimAttempt attempt = attempts.get(id);
    if (attempt != null
        && attempt.phase == ClaimAttempt.Phase.ASKING
        && attempt.asked.equals(Optional.of(claim))) {
      settle(attempt, claim, answer);
    }
  }

  /**
   * Notes that the node of a claim is gone: its address refuses connections or shows another run.
   *
   * @param id attempt that waits for the answer
   * @param claim claim that was asked about
   */
  public void peerUnreachable(ClaimId id, ClaimId claim) {
    answered(id, claim, new ClaimStatus.Unknown());
  }

  private void settle(ClaimAttempt attempt, ClaimId claim, ClaimStatus answer) {
    switch (answer) {
      case ClaimStatus.Stored stored -> {
        actions.add(new ClaimAction.Answer(attempt.claim.id(), stored.answer()));
        abandon(attempt);
      }
      case ClaimStatus.InProgress running ->
          refuse(attempt, ResultCode.IN_PROGRESS, "claim " + claim.attempt(), RETRY_AFTER);
      case ClaimStatus.Ran ran ->
          refuse(attempt, ResultCode.ALREADY_RAN, "its answer is not held", Duration.ZERO);
      case ClaimStatus.MayHaveRun unknown -> refuseUnknown(attempt);
      case ClaimStatus.NotRun notRun -> {
        attempt.phase = ClaimAttempt.Phase.AWAITING_RELEASE;
        attempt.limit = attempt.deadline;
      }
      case ClaimStatus.Unknown gone -> settleByLog(attempt);
    }
  }

  private void settleByLog(ClaimAttempt attempt) {
    if (index.isFinished(attempt.claim.key())) {
      refuse(attempt, ResultCode.ALREADY_RAN, "its node is gone", Duration.ZERO);
    } else {
      refuseUnknown(attempt);
    }
  }

  private void refuseUnknown(ClaimAttempt attempt) {
    refuse(attempt, ResultCode.OUTCOME_UNKNOWN, "an earlier attempt may have run", Duration.ZERO);
  }

  private void refuseLate(ClaimAttempt attempt) {
    refuse(attempt, ResultCode.DEADLINE_PASSED, "this attempt was not run", RETRY_AFTER);
  }

  private void refuse(ClaimAttempt attempt, ResultCode code, String detail, Duration retryAfter) {
    abandon(attempt);
    actions.add(new ClaimAction.Refuse(attempt.claim.id(), new Refusal(code, detail, retryAfter)));
  }

  /** Gives up an attempt that was not sent; it is never sent afterwards. */
  private void abandon(ClaimAttempt attempt) {
    ClaimEntry.Claimed claim = attempt.claim;
    attempts.remove(claim.id());
    attemptsByKey.remove(claim.key(), claim.id());
    outbox.withdraw(claim.id());
    if (index.isLive(claim.key(), claim.id())) {
      outbox.add(new ClaimEntry.Released(claim.key(), claim.id()));
    }
  }

  /**
   * Takes the right to send an attempt. The daemon calls this directly before it writes the request
   * to the backend server.
   *
   * @param id attempt
   * @return true exactly once for an attempt, and only while its right is valid; if false, the
   *     attempt was or is refused by an action and must not be sent
   */
  public boolean tryStart(ClaimId id) {
    ClaimAttempt attempt = attempts.get(id);
    if (attempt == null || attempt.phase != ClaimAttempt.Phase.ENTITLED) {
      return false;
    }
    if (!clock.instant().isBefore(attempt.limit)) {
      refuseLate(attempt);
      return false;
    }
    attempt.phase = ClaimAttempt.Phase.RUNNING;
    return true;
  }

  /**
   * Notes that an attempt ran to its end.
   *
   * @param id attempt
   * @param answer answer to store; empty if it is too large
   */
  public void completed(ClaimId id, Optional<StoredResponse> answer) {
    end(id, Outcome.RAN);
    answer.ifPresent(stored -> answers.put(id, stored));
  }

  /**
   * Notes that an attempt was sent and that nobody knows whether it ran.
   *
   * @param id attempt
   */
  public void outcomeUnknown(ClaimId id) {
    end(id, Outcome.MAY_HAVE_RUN);
  }

  private void end(ClaimId id, Outcome outcome) {
    ClaimAttempt attempt = attempts.get(id);
    if (attempt == null || attempt.phase != ClaimAttempt.Phase.RUNNING) {
      throw new IllegalStateException("attempt was not sent: " + id);
    }
    attempts.remove(id);
    ClaimKey key = attempt.claim.key();
    attemptsByKey.remove(key, id);
    ended.computeIfAbsent(key, any -> new HashMap<>()).put(id, outcome);
    if (outcome == Outcome.RAN) {
      outbox.add(new ClaimEntry.Finished(key, id));
    }
    flush();
  }

  /**
   * Gives up an attempt that certainly did not run and will not: the caller left before it was
   * sent, it got no permit, or the backend server refused it as "not run". The daemon answers the
   * caller. An attempt that is over already stays as it is.
   *
   * @param id attempt
   */
  public void notRun(ClaimId id) {
    Optional.ofNullable(attempts.get(id)).ifPresent(this::abandon);
    flush();
  }

  /** Lets time pass: ends waits that took too long, sends due batches, forgets old keys. */
  public void tick() {
    Instant now = clock.instant();
    List<ClaimAttempt> late =
        attempts.values().stream()
            .filter(attempt -> attempt.phase != ClaimAttempt.Phase.RUNNING)
            .filter(attempt -> !now.isBefore(attempt.limit) || !now.isBefore(attempt.deadline))
            .toList();
    late.forEach(this::expire);
    attempts.values().stream()
        .filter(attempt -> attempt.phase == ClaimAttempt.Phase.ENTITLED)
        .filter(attempt -> !now.isBefore(attempt.dueAt(settings.dispatchLease())))
        .forEach(attempt -> attempt.entitle(now.plus(settings.dispatchLease())));
    for (ClaimKey key : index.expire(now)) {
      Optional.ofNullable(ended.remove(key))
          .ifPresent(map -> map.keySet().forEach(outbox::withdraw));
    }
    flush();
  }

  private void expire(ClaimAttempt attempt) {
    if (attempt.phase == ClaimAttempt.Phase.ASKING && clock.instant().isBefore(attempt.deadline)) {
      settleByLog(attempt);
    } else {
      refuseLate(attempt);
    }
  }

  private void flush() {
    outbox
        .flush(clock.instant(), logAvailable)
        .ifPresent(next -> actions.add(new ClaimAction.Append(next.number(), next.batch())));
  }

  /**
   * Returns when {@link #tick} has something to do at the latest.
   *
   * @return time, or empty if nothing waits
   */
  public Optional<Instant> nextTick() {
    Optional<Instant> earliest =
        attempts.values().stream()
            .filter(attempt -> attempt.phase != ClaimAttempt.Phase.RUNNING)
            .map(attempt -> attempt.dueAt(settings.dispatchLease()))
            .min(Instant::compareTo);
    if (outbox.isEmpty()) {
      return earliest;
    }
    Instant flush = outbox.nextFlush();
    return Optional.of(earliest.filter(flush::isAfter).orElse(flush));
  }

  /**
   * Returns the number of keys held in memory.
   *
   * @return keys of the window that were read from the log
   */
  public int indexedKeys() {
    return index.size();
  }

  /**
   * Returns and forgets the actions since the last call.
   *
   * @return actions, in order
   */
  public List<ClaimAction> drain() {
    List<ClaimAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }
}
