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
 * A model engine with continuous batching, driven by explicit time. One implementation serves the
 * replay of traces and the stand-in processes, so that policies are tuned on the engine that the
 * fault tests run against.
 *
 * <p>Each step computes one token of every sequence in the batch and a limited number of prompt
 * tokens. Sequences hold memory for prompt and output. When memory is full, the sequence that is
 * last in the order of service loses its memory and computes prompt and output again later. Each
 * method first processes everything that is due at the given time; times must not decrease.
 *
 * <p>Not thread-safe.
 */
public final class EngineModel {

  private static final long NEVER = Long.MAX_VALUE;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** Bounds the jitter, because a step time must stay positive. */
  private static final double SMALLEST_JITTER_FACTOR = 0.1;

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
   * Creates an engine that just started.
   *
   * @param settings size and speed
   * @param random source of the jitter of step times
   * @param now time of the start
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
   * Hands a request to the engine.
   *
   * @param request request
   * @param now time
   * @return whether the engine took it
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
   * Ends a request before its time. Its memory is free immediately.
   *
   * @param id request
   * @param now time
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
    forget(sequence);
    return true;
  }

  /**
   * Crashes the engine. All requests are lost; a new incarnation starts after the restart delay.
   *
   * @param now time
   */
  public void crash(Instant now) {
    advanceTo(now);
    if (!isDown()) {
      crashAt(nanos(now));
    }
  }

  /**
   * Begins a cold phase within the same incarnation. Requests that are active already do not count
   * towards its limit, because nobody could have known.
   *
   * @param now time
   */
  public void turnCold(Instant now) {
    advanceTo(now);
    if (!isDown()) {
      beginCold(nanos(now));
    }
  }

  /**
   * Stops all computation without closing anything.
   *
   * @param now time
   */
  public void pause(Instant now) {
    advanceTo(now);
    if (!isPaused()) {
      pausedSince = nanos(now);
    }
  }

  /**
   * Continues after {@link #pause}. The step in progress takes longer by the length of the pause.
   *
   * @param now time
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
   * Processes everything that is due.
   *
   * @param now time
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
   * Tells when the engine next changes by itself.
   *
   * @return the time for the next {@link #advanceTo}, or empty while the engine is idle or paused
   */
  public Optional<Instant> nextEvent() {
    long next = nextNanos();
    return next == NEVER ? Optional.empty() : Optional.of(instant(next));
  }

  /**
   * Returns and removes the events since the last call.
   *
   * @return the events in the order of their time
   */
  public List<EngineEvent> drain() {
    List<EngineEvent> drained = events;
    events = new ArrayList<>();
    return Collections.unmodifiableList(drained);
  }

  /**
   * Counts the requests in the batch.
   *
   * @return the number of requests
   */
  public int running() {
    return batch.size();
  }

  /**
   * Counts the requests that wait for a place in the batch.
   *
   * @return the number of requests
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Returns the memory in use.
   *
   * @return the number of tokens
   */
  public long memoryUsedTokens() {
    return memoryUsed;
  }

  /**
   * Counts the blocks in the prefix cache.
   *
   * @return the number of blocks
   */
  public int cachedBlocks() {
    return cache.size();
  }

  /**
   * Counts the preemptions since this incarnation started.
   *
   * @return the number of preemptions
   */
  public long preemptions() {
    return preemptions;
  }

  /**
   * Counts the requests received beyond the limit while cold, over all incarnations.
   *
   * @return the number of requests
   */
  public long coldViolations() {
    return coldViolations;
  }

  /**
   * Returns the number of the current incarnation.
   *
   * @return 1 for the first one
   */
  public int incarnation() {
    return incarnation;
  }

  /**
   * Tells whether the engine is in a cold phase.
   *
   * @param now time
   * @return true if it is cold
   */
  public boolean isCold(Instant now) {
    advanceTo(now);
    endColdIfDue(nanos(now));
    return cold;
  }

  /**
   * Tells whether the engine has crashed and not yet restarted.
   *
   * @return true if it refuses all requests
   */
  public boolean isDown() {
    return restartAt != NEVER;
  }

  /**
   * Tells whether a request waits or runs.
   *
   * @param id request
   * @return true if it is active
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
    boolean preempted = makeRoomForGrowth(time);
    if (!preempted || batch.isEmpty()) {
      admitWaiting(time);
    }
    if (isDown() || batch.isEmpty()) {
      return;
    }
    stepEnd = time + stepNanos(planPrefill());
  }

  /** Frees memory until each sequence can grow by one token. Returns whether one was preempted. */
  private boolean makeRoomForGrowth(long time) {
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
    while (!waiting.isEmpty() && makeRoomFor(waiting.first(), time)) {
      Sequence next = waiting.removeFirst();
      if (next.request.crashesEngine()) {
        crashAt(time);
        return;
      }
      enterBatch(next, time);
    }
  }

  /** Preempts sequences of lower priority if that makes a sequence fit. Returns whether it fits. */
  private boolean makeRoomFor(Sequence candidate, long time) {
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

  /** A sequence fits if, after its entry, each sequence can still grow by one token. */
  private boolean fits(Sequence candidate, int batchSize, long memory) {
    return batchSize < settings.batchLimit()
        && memory + candidate.memory() + batchSize + 1 <= settings.memoryTokens();
  }

  private void enterBatch(Sequence sequence, long time) {
    int hits = cache.use(sequence.request.prefixBlocks());
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

  /** Distributes the prefill tokens of a step in the order of service and returns their sum. */
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
      nanos *= Math.max(SMALLEST_JITTER_FACTOR, random.nextGaussian(1, times.jitter()));
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
    forget(sequence);
    coldFinished++;
    events.add(
        new EngineEvent.Finished(instant(time), sequence.request.id(), reason, sequence.produced));
  }

  private void forget(Sequence sequence) {
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
    boolean timeIsUp = !duration.isZero() && time - coldSince >= duration.toNanos();
    boolean enoughRequests = requests > 0 && coldFinished >= requests;
    if (cold && (timeIsUp || enoughRequests)) {
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
