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
 * Coordinates the claims of one daemon process, so that a request that must not be executed twice
 * is executed at most once across all entry daemons.
 *
 * <p>An attempt is sent only after its claim was read back from the log as the first claim of its
 * key that is not released. Only the daemon that made a claim releases it, and only after it has
 * abandoned the attempt for good. Two claims of one key can therefore never both be executed, even
 * if the log delays, loses or duplicates appends.
 *
 * <p>Paused processes: the claims of a paused daemon keep their keys, so no other daemon executes
 * these requests. The dispatch lease, which permits the daemon to send an attempt, expires {@link
 * ClaimSettings#dispatchLease} after the claim was read back. Each tick before that renews it while
 * the attempt waits for its permit, but never beyond the deadline. The first call after the pause
 * finds the lease or the deadline expired, refuses the request as "not run" and releases the claim.
 * If a daemon crashes, the outcome of its unreleased claims stays unknown. A restarted daemon uses
 * a new coordinator with a new process identity.
 *
 * <p>"Not run" refers to a single attempt; an earlier attempt with the same key may have been
 * executed.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class ClaimCoordinator {

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private enum Outcome {
    RAN,
    MAY_HAVE_RUN
  }

  /** A record of the stream {@code claims} with its log offset. */
  public record OffsetBatch(long offset, ClaimBatch batch) {}

  private final NodeName node;
  private final String boot;
  private final ClaimSettings settings;
  private final Clock clock;
  private final ClaimIndex index;
  private final ClaimOutbox outbox = new ClaimOutbox();
  private final ResponseCache responses;
  private final Map<ClaimId, ClaimAttempt> attempts = new LinkedHashMap<>();
  private final Multimap<ClaimKey, ClaimId> attemptsByKey = LinkedHashMultimap.create();
  private final Map<ClaimKey, Map<ClaimId, Outcome>> outcomes = new HashMap<>();
  private final List<ClaimAction> actions = new ArrayList<>();
  private boolean logAvailable = true;
  private long nextOffset;
  private long sequence;

  /**
   * Creates a coordinator that has read no records; the daemon passes it the stream from the first
   * retained record.
   *
   * @param node name of this daemon
   * @param boot identity of this daemon process, never used before
   * @param settings time and size limits
   * @param clock clock for deadlines and the age of keys
   */
  public ClaimCoordinator(NodeName node, String boot, ClaimSettings settings, Clock clock) {
    this.node = node;
    this.boot = boot;
    this.settings = settings;
    this.clock = clock;
    this.index = new ClaimIndex(settings.acceptanceWindow().plus(ClaimSettings.CLOCK_TOLERANCE));
    this.responses = new ResponseCache(settings, clock);
  }

  /**
   * Sets the number of daemons that append to the stream, which determines the append rate of this
   * daemon.
   *
   * @param nodes number of appending daemons, at least 1
   */
  public void setAppendingNodes(int nodes) {
    outbox.setAppendingNodes(nodes);
  }

  /**
   * Accepts a request on a route that is not repeatable, and claims its key.
   *
   * @param account client account that sent the request
   * @param keyText value of the {@code Idempotency-Key} header; empty if the header is missing
   * @param fingerprint hash of account, route and body
   * @param deadline time at which the caller stops waiting
   * @return identity of the attempt, to which the resulting actions refer
   */
  public ClaimId submit(AccountName account, String keyText, String fingerprint, Instant deadline) {
    ClaimId id = new ClaimId(node, boot, ++sequence);
    Optional<ClaimKey> key = ClaimKey.parse(account, keyText);
    Optional<Refusal> refusal = key.map(this::validate).orElseGet(() -> Optional.of(keyRequired()));
    if (refusal.isPresent()) {
      actions.add(new ClaimAction.Refuse(id, refusal.get()));
      return id;
    }
    ClaimEntry.Claimed claim = new ClaimEntry.Claimed(key.orElseThrow(), id, fingerprint);
    ClaimAttempt attempt = new ClaimAttempt(claim, deadline);
    attempts.put(id, attempt);
    attemptsByKey.put(claim.key(), id);
    evaluate(attempt);
    flush();
    return id;
  }

  private static Refusal keyRequired() {
    return Refusal.permanent(
        ResultCode.IDEMPOTENCY_KEY_REQUIRED, "Idempotency-Key must be a UUID of version 7");
  }

  private Optional<Refusal> validate(ClaimKey key) {
    Instant now = clock.instant();
    if (settings.isExpired(key, now)) {
      return Optional.of(
          Refusal.permanent(
              ResultCode.IDEMPOTENCY_KEY_EXPIRED,
              "the idempotency key is older than " + settings.acceptanceWindow()));
    }
    if (settings.isInFuture(key, now)) {
      return Optional.of(
          Refusal.permanent(
              ResultCode.IDEMPOTENCY_KEY_REQUIRED,
              "the timestamp of the idempotency key is in the future"));
    }
    return Optional.empty();
  }

  /**
   * Handles a successful append. The entries take effect only when they are read back, because only
   * the order in the log decides between claims.
   *
   * @param batch sequence number of the batch
   */
  public void appendSucceeded(long batch) {
    logAvailable = true;
    outbox.succeeded(batch);
  }

  /**
   * Handles an append that the log rejected with an error. The log is treated as unavailable until
   * an append or a read succeeds.
   *
   * @param batch sequence number of the batch
   */
  public void appendFailed(long batch) {
    outbox.failed(batch);
    logUnavailable();
  }

  /**
   * Handles an append that timed out. It may still take effect at any later time.
   *
   * @param batch sequence number of the batch
   */
  public void appendTimedOut(long batch) {
    outbox.failed(batch);
    flush();
  }

  /** Marks the log as unavailable and immediately refuses the requests that wait for it. */
  public void logUnavailable() {
    logAvailable = false;
    List<ClaimAttempt> claiming =
        attempts.values().stream()
            .filter(attempt -> attempt.phase == ClaimAttempt.Phase.CLAIMING)
            .toList();
    claiming.forEach(this::refuseLogUnavailable);
  }

  private void refuseLogUnavailable(ClaimAttempt attempt) {
    refuse(attempt, ResultCode.LOG_UNAVAILABLE, "this attempt was not run", RETRY_DELAY);
  }

  /**
   * Returns the offset of the next record to read.
   *
   * @return offset in the stream {@code claims}
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Applies records of the stream. Records that the log dropped before they were read are older
   * than its retention, so their keys are no longer accepted anyway.
   *
   * @param earliest offset of the first retained record
   * @param batches records in log order; records that were already applied are skipped
   */
  public void recordsRead(long earliest, List<OffsetBatch> batches) {
    logAvailable = true;
    nextOffset = Math.max(nextOffset, earliest);
    Set<ClaimKey> changedKeys = new LinkedHashSet<>();
    for (OffsetBatch record : batches) {
      if (record.offset() >= nextOffset) {
        nextOffset = record.offset() + 1;
        record.batch().entries().forEach(entry -> apply(entry, changedKeys));
      }
    }
    changedKeys.forEach(this::reevaluate);
    flush();
  }

  private void apply(ClaimEntry entry, Set<ClaimKey> changedKeys) {
    index.apply(entry);
    outbox.confirm(entry);
    changedKeys.add(entry.key());
  }

  /** Re-evaluates the attempts that claim a key after new entries for the key were read. */
  private void reevaluate(ClaimKey key) {
    for (ClaimId id : List.copyOf(attemptsByKey.get(key))) {
      ClaimAttempt attempt = attempts.get(id);
      if (attempt != null) {
        reevaluate(attempt);
      }
    }
    index.holder(key).ifPresent(this::releaseIfNotRun);
  }

  private void reevaluate(ClaimAttempt attempt) {
    switch (attempt.phase) {
      case CLAIMING -> {
        if (index.isActive(attempt.claim.key(), attempt.claim.id())) {
          evaluate(attempt);
        }
      }
      case QUERYING, AWAITING_RELEASE -> {
        Optional<ClaimId> holder = index.holder(attempt.claim.key()).map(ClaimEntry.Claimed::id);
        if (!holder.equals(attempt.queriedClaim)) {
          evaluate(attempt);
        }
      }
      default -> {} // the holder of a key cannot lose it to another claim
    }
  }

  /** Releases a key that is held by a claim of this process although its attempt was abandoned. */
  private void releaseIfNotRun(ClaimEntry.Claimed holder) {
    if (isOwnClaim(holder.id())
        && statusOfOwnClaim(holder.key(), holder.id()) instanceof ClaimStatus.NotRun) {
      outbox.addIfAbsent(new ClaimEntry.Released(holder.key(), holder.id()));
    }
  }

  private boolean isOwnClaim(ClaimId id) {
    return id.node().equals(node) && id.boot().equals(boot);
  }

  private void evaluate(ClaimAttempt attempt) {
    Optional<ClaimEntry.Claimed> holder = index.holder(attempt.claim.key());
    if (holder.isEmpty()) {
      claim(attempt);
    } else if (holder.get().id().equals(attempt.claim.id())) {
      permitSend(attempt);
    } else {
      handleConflict(attempt, holder.get());
    }
  }

  private void claim(ClaimAttempt attempt) {
    attempt.phase = ClaimAttempt.Phase.CLAIMING;
    attempt.phaseEnd = attempt.deadline;
    if (logAvailable) {
      outbox.add(attempt.claim);
    } else {
      refuseLogUnavailable(attempt);
    }
  }

  private void permitSend(ClaimAttempt attempt) {
    Instant now = clock.instant();
    if (!now.isBefore(attempt.deadline) || settings.isExpired(attempt.claim.key(), now)) {
      refuseExpired(attempt);
      return;
    }
    attempt.permitSend(now.plus(settings.dispatchLease()));
    actions.add(new ClaimAction.Dispatch(attempt.claim.id(), attempt.phaseEnd));
  }

  private void handleConflict(ClaimAttempt attempt, ClaimEntry.Claimed holder) {
    if (!holder.fingerprint().equals(attempt.claim.fingerprint())) {
      refuse(
          attempt,
          ResultCode.IDEMPOTENCY_KEY_REUSED,
          "the idempotency key was used for a different request",
          Duration.ZERO);
      return;
    }
    attempt.queriedClaim = Optional.of(holder.id());
    if (holder.id().node().equals(node)) {
      applyStatus(attempt, holder.id(), statusOf(holder.key(), holder.id()));
      return;
    }
    attempt.phase = ClaimAttempt.Phase.QUERYING;
    attempt.phaseEnd = clock.instant().plus(settings.queryTimeout());
    actions.add(
        new ClaimAction.QueryClaim(
            attempt.claim.id(), holder.id().node(), holder.key(), holder.id()));
  }

  /**
   * Returns the state of a claim of this daemon, as queried by another daemon.
   *
   * @param key idempotency key
   * @param claim claim that the other daemon read from the log
   * @return state of the claim; unknown if another process made it
   */
  public ClaimStatus statusOf(ClaimKey key, ClaimId claim) {
    return isOwnClaim(claim) ? statusOfOwnClaim(key, claim) : new ClaimStatus.Unknown();
  }

  private ClaimStatus statusOfOwnClaim(ClaimKey key, ClaimId claim) {
    if (attempts.containsKey(claim)) {
      return new ClaimStatus.InProgress();
    }
    Optional<Outcome> outcome =
        Optional.ofNullable(outcomes.get(key)).flatMap(map -> Optional.ofNullable(map.get(claim)));
    if (outcome.isEmpty()) {
      return new ClaimStatus.NotRun();
    }
    return switch (outcome.get()) {
      case MAY_HAVE_RUN -> new ClaimStatus.MayHaveRun();
      case RAN ->
          responses
              .find(claim)
              .<ClaimStatus>map(ClaimStatus.Stored::new)
              .orElseGet(ClaimStatus.Ran::new);
    };
  }

  /**
   * Handles the reply to an {@link ClaimAction.QueryClaim}.
   *
   * @param id attempt that waits for the reply
   * @param claim claim whose state was queried
   * @param status state of that claim
   */
  public void statusReceived(ClaimId id, ClaimId claim, ClaimStatus status) {
    ClaimAttempt attempt = attempts.get(id);
    if (attempt != null
        && attempt.phase == ClaimAttempt.Phase.QUERYING
        && attempt.queriedClaim.equals(Optional.of(claim))) {
      applyStatus(attempt, claim, status);
    }
  }

  /**
   * Handles a query to a daemon process that no longer exists: its address refuses connections or
   * belongs to another process.
   *
   * @param id attempt that waits for the reply
   * @param claim claim whose state was queried
   */
  public void peerUnreachable(ClaimId id, ClaimId claim) {
    statusReceived(id, claim, new ClaimStatus.Unknown());
  }

  private void applyStatus(ClaimAttempt attempt, ClaimId claim, ClaimStatus status) {
    switch (status) {
      case ClaimStatus.Stored stored -> {
        actions.add(new ClaimAction.Replay(attempt.claim.id(), stored.answer()));
        abandon(attempt);
      }
      case ClaimStatus.InProgress running ->
          refuse(
              attempt,
              ResultCode.IN_PROGRESS,
              "in progress as attempt " + claim.attempt(),
              RETRY_DELAY);
      case ClaimStatus.Ran ran ->
          refuse(
              attempt,
              ResultCode.ALREADY_RAN,
              "the response of the earlier attempt is no longer stored",
              Duration.ZERO);
      case ClaimStatus.MayHaveRun unknown -> refuseOutcomeUnknown(attempt);
      case ClaimStatus.NotRun notRun -> {
        attempt.phase = ClaimAttempt.Phase.AWAITING_RELEASE;
        attempt.phaseEnd = attempt.deadline;
      }
      case ClaimStatus.Unknown gone -> resolveFromLog(attempt);
    }
  }

  private void resolveFromLog(ClaimAttempt attempt) {
    if (index.isFinished(attempt.claim.key())) {
      refuse(
          attempt,
          ResultCode.ALREADY_RAN,
          "the entry daemon that ran the earlier attempt is gone",
          Duration.ZERO);
    } else {
      refuseOutcomeUnknown(attempt);
    }
  }

  private void refuseOutcomeUnknown(ClaimAttempt attempt) {
    refuse(attempt, ResultCode.OUTCOME_UNKNOWN, "an earlier attempt may have run", Duration.ZERO);
  }

  private void refuseExpired(ClaimAttempt attempt) {
    refuse(attempt, ResultCode.DEADLINE_PASSED, "this attempt was not run", RETRY_DELAY);
  }

  private void refuse(ClaimAttempt attempt, ResultCode code, String detail, Duration retryAfter) {
    abandon(attempt);
    actions.add(new ClaimAction.Refuse(attempt.claim.id(), new Refusal(code, detail, retryAfter)));
  }

  /** Abandons an attempt that was not sent; it cannot be sent afterwards. */
  private void abandon(ClaimAttempt attempt) {
    ClaimEntry.Claimed claim = attempt.claim;
    attempts.remove(claim.id());
    attemptsByKey.remove(claim.key(), claim.id());
    outbox.removeEntriesOf(claim.id());
    if (index.isActive(claim.key(), claim.id())) {
      outbox.add(new ClaimEntry.Released(claim.key(), claim.id()));
    }
  }

  /**
   * Marks an attempt as running if it may be sent now. The daemon calls this immediately before it
   * writes the request to the backend server.
   *
   * @param id attempt to send
   * @return true at most once per attempt, and only while its dispatch lease is valid; if false,
   *     the attempt must not be sent, and an action refuses it or has refused it
   */
  public boolean tryStart(ClaimId id) {
    ClaimAttempt attempt = attempts.get(id);
    if (attempt == null || attempt.phase != ClaimAttempt.Phase.PERMITTED) {
      return false;
    }
    if (!clock.instant().isBefore(attempt.phaseEnd)) {
      refuseExpired(attempt);
      return false;
    }
    attempt.phase = ClaimAttempt.Phase.RUNNING;
    return true;
  }

  /**
   * Handles the completion of an attempt that was sent.
   *
   * @param id attempt that completed
   * @param response response to store; empty if it is too large
   */
  public void completed(ClaimId id, Optional<StoredResponse> response) {
    end(id, Outcome.RAN);
    response.ifPresent(stored -> responses.put(id, stored));
  }

  /**
   * Handles an attempt that was sent and whose outcome cannot be determined.
   *
   * @param id attempt that may have been executed
   */
  public void outcomeUnknown(ClaimId id) {
    end(id, Outcome.MAY_HAVE_RUN);
  }

  private void end(ClaimId id, Outcome outcome) {
    ClaimAttempt attempt = attempts.get(id);
    if (attempt == null || attempt.phase != ClaimAttempt.Phase.RUNNING) {
      throw new IllegalStateException("cannot end an attempt that was not sent: " + id);
    }
    attempts.remove(id);
    ClaimKey key = attempt.claim.key();
    attemptsByKey.remove(key, id);
    outcomes.computeIfAbsent(key, any -> new HashMap<>()).put(id, outcome);
    if (outcome == Outcome.RAN) {
      outbox.add(new ClaimEntry.Finished(key, id));
    }
    flush();
  }

  /**
   * Abandons an attempt that was certainly not executed and never will be: the caller disconnected
   * before it was sent, it received no permit, or the backend server refused it as "not run". The
   * daemon itself responds to the caller. Has no effect if the attempt has already ended.
   *
   * @param id attempt to abandon
   */
  public void notRun(ClaimId id) {
    Optional.ofNullable(attempts.get(id)).ifPresent(this::abandon);
    flush();
  }

  /**
   * Performs the work that is due: ends attempts that timed out, renews dispatch leases, appends
   * due batches and removes expired keys.
   */
  public void tick() {
    Instant now = clock.instant();
    List<ClaimAttempt> expired =
        attempts.values().stream()
            .filter(attempt -> attempt.phase != ClaimAttempt.Phase.RUNNING)
            .filter(attempt -> !now.isBefore(attempt.phaseEnd) || !now.isBefore(attempt.deadline))
            .toList();
    expired.forEach(this::handleTimeout);
    attempts.values().stream()
        .filter(attempt -> attempt.phase == ClaimAttempt.Phase.PERMITTED)
        .filter(attempt -> !now.isBefore(attempt.nextTickAt(settings.dispatchLease())))
        .forEach(attempt -> attempt.permitSend(now.plus(settings.dispatchLease())));
    for (ClaimKey key : index.removeExpired(now)) {
      Optional.ofNullable(outcomes.remove(key))
          .ifPresent(map -> map.keySet().forEach(outbox::removeEntriesOf));
    }
    flush();
  }

  private void handleTimeout(ClaimAttempt attempt) {
    if (attempt.phase == ClaimAttempt.Phase.QUERYING
        && clock.instant().isBefore(attempt.deadline)) {
      resolveFromLog(attempt);
    } else {
      refuseExpired(attempt);
    }
  }

  private void flush() {
    outbox
        .flush(clock.instant(), logAvailable)
        .ifPresent(next -> actions.add(new ClaimAction.Append(next.number(), next.batch())));
  }

  /**
   * Returns when {@link #tick} must be called next.
   *
   * @return time of the next tick, or empty if nothing is pending
   */
  public Optional<Instant> nextTick() {
    Optional<Instant> earliest =
        attempts.values().stream()
            .filter(attempt -> attempt.phase != ClaimAttempt.Phase.RUNNING)
            .map(attempt -> attempt.nextTickAt(settings.dispatchLease()))
            .min(Instant::compareTo);
    if (outbox.isEmpty()) {
      return earliest;
    }
    Instant flush = outbox.nextFlush();
    return Optional.of(earliest.filter(flush::isAfter).orElse(flush));
  }

  /**
   * Returns the number of keys in the index.
   *
   * @return number of keys read from the log and not yet removed
   */
  public int indexedKeyCount() {
    return index.size();
  }

  /**
   * Removes and returns the pending actions.
   *
   * @return actions since the last call, in the order in which they must be performed
   */
  public List<ClaimAction> drain() {
    List<ClaimAction> result = List.copyOf(actions);
    actions.clear();
    return result;
  }
}
