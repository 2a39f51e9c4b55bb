package org.cactusseam.logic.replay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Simulates an inference engine with continuous batching. The caller supplies the time. Trace
 * replay and the stand-in processes share this class, so that policies are tuned on the same engine
 * that the fault tests run against.
 *
 * <p>Each step decodes one token of every sequence in the batch and prefills a limited number of
 * prompt tokens. A sequence occupies memory for its prompt and output tokens. When memory is full,
 * the sequence that is last in {@link Sequence#SERVICE_ORDER} is preempted and recomputes its
 * prompt and output later. Methods that take a time first process all steps and restarts due by
 * then; the time must not decrease between calls.
 *
 * <p>Not thread-safe.
 */
public final class EngineModel {

  private static final long NEVER = Long.MAX_VALUE;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Lower bound of the random factor on a step time, which must stay positive. */
  private static final double MIN_JITTER_FACTOR = 0.1;

  private final EngineSettings settings;
  private final RandomGenerator random;
  private final PrefixCache cache;
  private final Map<String, Sequence> active = new HashMap<>();
  private final List<Sequence> batch = new ArrayList<>();
  private final TreeSet<Sequence> waiting = new TreeSet<>(Sequence.SERVICE_ORDER);
  private List<EngineEvent> events = new ArrayList<>();
  private long arrivals;
  private long memoryUsed;
  private long preemptions;
  private long coldViolations;
  private int incarnation = 1;
  private boolean cold;
  private long coldSince;
  private int coldPhase;
  private int coldActive;
  private int coldFinished;
  private long stepEnd = NEVER;
  private long restartAt = NEVER;
  private long pausedSince = NEVER;

  /**
   * Creates an engine that has just started.
   *
   * @param settings size and speed of the engine
   * @param random source of the random variation of step times
   * @param now start time
   */
  public EngineModel(EngineSettings settings, RandomGenerator random, Instant now) {
    this.settings = settings;
    this.random = random;
    cache = new PrefixCache(settings.cacheBlocks());
    if (settings.coldStart().startsCold()) {
      beginCold(nanos(now));
    }
  }

  /**
   * Submits a request to the engine.
   *
   * @param request request to run
   * @param now current time
   * @return whether the engine accepted the request, or why not
   */
  public SubmitResult submit(EngineRequest request, Instant now) {
    advanceTo(now);
    if (isDown()) {
      return SubmitResult.DOWN;
    }
    if (request.promptTokens() + 1L > settings.memoryTokens()) {
      return SubmitResult.TOO_LARGE;
    }
    if (active.containsKey(request.id())) {
      return SubmitResult.DUPLICATE;
    }
    long time = nanos(now);
    endColdIfDue(time);
    Sequence sequence = new Sequence(request, arrivals++, cold ? coldPhase : 0);
    active.put(request.id(), sequence);
    waiting.add(sequence);
    if (cold && ++coldActive > settings.coldStart().limit()) {
      coldViolations++;
      crashAt(time);
      return SubmitResult.CRASHED;
    }
    if (stepEnd == NEVER && !isPaused()) {
      beginStep(time);
    }
    return SubmitResult.ACCEPTED;
  }

  /**
   * Cancels a request and frees its memory immediately.
   *
   * @param id identity of the request
   * @param now current time
   * @return whether the request was active
   */
  public boolean cancel(String id, Instant now) {
    advanceTo(now);
    Sequence sequence = active.get(id);
    if (sequence == null) {
      return false;
    }
    if (sequence.batched) {
      leaveBatch(sequence);
    } else {
      waiting.remove(sequence);
    }
    removeActive(sequence);
    return true;
  }

  /**
   * Crashes the engine. All active requests are lost; a new incarnation starts after the restart
   * delay.
   *
   * @param now current time
   */
  public void crash(Instant now) {
    advanceTo(now);
    if (!isDown()) {
      crashAt(nanos(now));
    }
  }

  /**
   * Begins a cold phase within the same incarnation. Requests that are already active do not count
   * towards its limit, because their sender could not have known of it.
   *
   * @param now current time
   */
  public void turnCold(Instant now) {
    advanceTo(now);
    if (!isDown()) {
      beginCold(nanos(now));
    }
  }

  /**
   * Stops all computation; active requests are kept, and new ones are still accepted.
   *
   * @param now current time
   */
  public void pause(Instant now) {
    advanceTo(now);
    if (!isPaused()) {
      pausedSince = nanos(now);
    }
  }

  /**
   * Continues after {@link #pause}. The step in progress ends later by the length of the pause.
   *
   * @param now current time
   */
  public void resume(Instant now) {
    if (!isPaused()) {
      return;
    }
    long time = nanos(now);
    long length = time - pausedSince;
    pausedSince = NEVER;
    if (stepEnd != NEVER) {
      stepEnd += length;
    } else if (!isDown()) {
      beginStep(time);
    }
    advanceTo(now);
  }

  /**
   * Processes all steps and restarts that are due.
   *
   * @param now current time
   */
  public void advanceTo(Instant now) {
    long time = nanos(now);
    for (long next = nextNanos(); next <= time; next = nextNanos()) {
      if (isDown()) {
        restart(next);
      } else {
        endStep(next);
      }
    }
  }

  /**
   * Returns the time of the next step end or restart.
   *
   * @return time at which {@link #advanceTo} must be called next, or empty while the engine is idle
   *     or paused
   */
  public Optional<Instant> nextEvent() {
    long next = nextNanos();
    return next == NEVER ? Optional.empty() : Optional.of(instant(next));
  }

  /**
   * Returns and removes the events that occurred since the last call.
   *
   * @return events in the order of their time
   */
  public List<EngineEvent> drain() {
    List<EngineEvent> drained = events;
    events = new ArrayList<>();
    return Collections.unmodifiableList(drained);
  }

  /**
   * Returns the number of requests in the running batch.
   *
   * @return number of requests
   */
  public int running() {
    return batch.size();
  }

  /**
   * Returns the number of requests that wait to join the batch.
   *
   * @return number of requests
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Returns the memory that the batch occupies.
   *
   * @return memory in use, in tokens
   */
  public long memoryUsedTokens() {
    return memoryUsed;
  }

  /**
   * Returns the number of blocks in the prefix cache.
   *
   * @return number of blocks
   */
  public int cachedBlocks() {
    return cache.size();
  }

  /**
   * Returns the number of preemptions since the current incarnation started.
   *
   * @return number of preemptions
   */
  public long preemptions() {
    return preemptions;
  }

  /**
   * Returns the number of requests that exceeded the limit of a cold phase, over all incarnations.
   *
   * @return number of requests
   */
  public long coldViolations() {
    return coldViolations;
  }

  /**
   * Returns the number of the current incarnation.
   *
   * @return 1 for the first incarnation
   */
  public int incarnation() {
    return incarnation;
  }

  /**
   * Tells whether the engine is in a cold phase.
   *
   * @param now current time
   * @return true while the cold phase lasts
   */
  public boolean isCold(Instant now) {
    advanceTo(now);
    endColdIfDue(nanos(now));
    return cold;
  }

  /**
   * Tells whether the engine has crashed and has not restarted yet.
   *
   * @return true while it rejects all requests
   */
  public boolean isDown() {
    return restartAt != NEVER;
  }

  /**
   * Tells whether a request is waiting or running.
   *
   * @param id identity of the request
   * @return true if the request is active
   */
  public boolean isActive(String id) {
    return active.containsKey(id);
  }

  private boolean isPaused() {
    return pausedSince != NEVER;
  }

  private long nextNanos() {
    if (isDown()) {
      return restartAt;
    }
    return isPaused() ? NEVER : stepEnd;
  }

  private void beginStep(long time) {
    stepEnd = NEVER;
    endColdIfDue(time);
    boolean preempted = freeMemoryForGrowth(time);
    if (!preempted || batch.isEmpty()) {
      admitWaiting(time);
    }
    if (isDown() || batch.isEmpty()) {
      return;
    }
    stepEnd = time + stepNanos(planPrefill());
  }

  /**
   * Preempts sequences until each remaining one can grow by one token. A sequence that fills the
   * memory alone is finished early instead. Returns whether any was preempted.
   */
  private boolean freeMemoryForGrowth(long time) {
    boolean preempted = false;
    while (memoryUsed + batch.size() > settings.memoryTokens() && batch.size() > 1) {
      preempt(batch.getLast(), time);
      preempted = true;
    }
    if (batch.size() == 1 && memoryUsed + 1 > settings.memoryTokens()) {
      finish(batch.getFirst(), EngineEvent.FinishReason.LENGTH, time);
    }
    return preempted;
  }

  private void admitWaiting(long time) {
    while (!waiting.isEmpty() && freeCapacityFor(waiting.first(), time)) {
      Sequence next = waiting.removeFirst();
      if (next.request.crashesEngine()) {
        crashAt(time);
        return;
      }
      enterBatch(next, time);
    }
  }

  /**
   * Preempts sequences of lower priority if that makes room for the candidate. Returns whether the
   * candidate fits.
   */
  private boolean freeCapacityFor(Sequence candidate, long time) {
    int remaining = batch.size();
    long memory = memoryUsed;
    while (!fits(candidate, remaining, memory)) {
      if (remaining == 0 || batch.get(remaining - 1).request.rank() <= candidate.request.rank()) {
        return false;
      }
      remaining--;
      memory -= batch.get(remaining).memory();
    }
    while (batch.size() > remaining) {
      preempt(batch.getLast(), time);
    }
    return true;
  }

  /** A candidate fits if, after it has joined, each sequence can still grow by one token. */
  private boolean fits(Sequence candidate, int batchSize, long memory) {
    return batchSize < settings.batchLimit()
        && memory + candidate.memory() + batchSize + 1 <= settings.memoryTokens();
  }

  private void enterBatch(Sequence sequence, long time) {
    int hits = cache.lookUp(sequence.request.prefixBlocks());
    int cached =
        (int) Math.min((long) hits * settings.blockTokens(), sequence.request.promptTokens() - 1L);
    sequence.prefillLeft = (int) sequence.memory() - cached;
    sequence.prefixPending = true;
    sequence.batched = true;
    int position = -Collections.binarySearch(batch, sequence, Sequence.SERVICE_ORDER) - 1;
    batch.add(position, sequence);
    memoryUsed += sequence.memory();
    events.add(new EngineEvent.Batched(instant(time), sequence.request.id(), cached));
  }

  private void leaveBatch(Sequence sequence) {
    batch.remove(sequence);
    memoryUsed -= sequence.memory();
    sequence.batched = false;
  }

  private void preempt(Sequence sequence, long time) {
    leaveBatch(sequence);
    waiting.add(sequence);
    preemptions++;
    events.add(new EngineEvent.Preempted(instant(time), sequence.request.id(), sequence.produced));
  }

  /** Distributes the prefill budget of a step in service order and returns the tokens used. */
  private int planPrefill() {
    int budget = settings.prefillTokensPerStep();
    for (Sequence sequence : batch) {
      sequence.prefillChunk = Math.min(budget, sequence.prefillLeft);
      budget -= sequence.prefillChunk;
    }
    return settings.prefillTokensPerStep() - budget;
  }

  private long stepNanos(int prefillTokens) {
    StepTimes times = settings.stepTimes();
    double nanos =
        times.base().toNanos()
            + (double) batch.size() * times.perSequence().toNanos()
            + (double) prefillTokens * times.perPrefillToken().toNanos();
    if (times.jitter() > 0) {
      nanos *= Math.max(MIN_JITTER_FACTOR, random.nextGaussian(1, times.jitter()));
    }
    if (cold) {
      nanos *= settings.coldStart().slowdown();
    }
    return Math.max(1, Math.round(nanos));
  }

  private void endStep(long time) {
    Instant at = instant(time);
    List<Sequence> finished = new ArrayList<>();
    for (Sequence sequence : batch) {
      sequence.prefillLeft -= sequence.prefillChunk;
      if (sequence.prefillLeft > 0) {
        continue;
      }
      if (sequence.prefixPending) {
        storePrefix(sequence, at);
      }
      events.add(new EngineEvent.Token(at, sequence.request.id(), sequence.produced));
      sequence.produced++;
      memoryUsed++;
      if (sequence.produced == sequence.request.outputTokens()) {
        finished.add(sequence);
      }
    }
    finished.forEach(sequence -> finish(sequence, EngineEvent.FinishReason.STOP, time));
    beginStep(time);
  }

  private void storePrefix(Sequence sequence, Instant at) {
    sequence.prefixPending = false;
    for (Long block : sequence.request.prefixBlocks()) {
      if (cache.store(block)) {
        events.add(new EngineEvent.PrefixStored(at, block));
      }
    }
    cache.evict().forEach(block -> events.add(new EngineEvent.PrefixEvicted(at, block)));
  }

  private void finish(Sequence sequence, EngineEvent.FinishReason reason, long time) {
    leaveBatch(sequence);
    removeActive(sequence);
    coldFinished++;
    events.add(
        new EngineEvent.Finished(instant(time), sequence.request.id(), reason, sequence.produced));
  }

  private void removeActive(Sequence sequence) {
    active.remove(sequence.request.id());
    if (cold && sequence.coldPhase == coldPhase) {
      coldActive--;
    }
  }

  private void crashAt(long time) {
    List<String> lost = active.keySet().stream().sorted().toList();
    active.clear();
    batch.clear();
    waiting.clear();
    cache.clear();
    memoryUsed = 0;
    coldActive = 0;
    stepEnd = NEVER;
    restartAt = time + settings.restartDelay().toNanos();
    events.add(new EngineEvent.Crashed(instant(time), lost));
  }

  private void restart(long time) {
    restartAt = NEVER;
    incarnation++;
    preemptions = 0;
    cold = false;
    if (settings.coldStart().startsCold()) {
      beginCold(time);
    }
    events.add(new EngineEvent.Restarted(instant(time), incarnation));
  }

  private void beginCold(long time) {
    cold = true;
    coldSince = time;
    coldActive = 0;
    coldFinished = 0;
    coldPhase++;
  }

  private void endColdIfDue(long time) {
    Duration duration = settings.coldStart().duration();
    int requests = settings.coldStart().requests();
    boolean durationElapsed = !duration.isZero() && time - coldSince >= duration.toNanos();
    boolean requestsFinished = requests > 0 && coldFinished >= requests;
    if (cold && (durationElapsed || requestsFinished)) {
      cold = false;
    }
  }

  private static long nanos(Instant instant) {
    return instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano();
  }

  private static Instant instant(long nanos) {
    return Instant.ofEpochSecond(
        Math.floorDiv(nanos, NANOS_PER_SECOND), Math.floorMod(nanos, NANOS_PER_SECOND));
  }
}
