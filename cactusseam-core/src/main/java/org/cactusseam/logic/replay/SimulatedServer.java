package org.cactusseam.logic.replay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;

/**
 * A backend server in a replay: connects an engine to its response streams, and sends its load
 * reports and cache events to the shard owner.
 */
final class SimulatedServer {

  final BackendServer description;
  final String region;
  final EngineModel engine;

  private final EventQueue queue;
  private final ReplaySettings settings;
  private final SimulatedShardOwner owner;
  private final SplittableRandom lossRandom;
  private final Map<String, Stream> streams = new HashMap<>();
  private long cacheEvents;
  private long crashes;
  private long nextWakeUpMicros = Long.MAX_VALUE;

  /** Receives the progress of one request in the engine. */
  interface Stream {
    /** The engine produced a token. */
    void onToken(long atMicros);

    /** The request was preempted and returned to the queue of the engine. */
    void onPreempted();

    /** The request finished. */
    void onFinished(long atMicros);

    /** The engine crashed, and the request is lost. */
    void onCrashed();
  }

  SimulatedServer(
      BackendServer description,
      String region,
      EventQueue queue,
      ReplaySettings settings,
      SimulatedShardOwner owner,
      long seed) {
    this.description = description;
    this.region = region;
    this.queue = queue;
    this.settings = settings;
    this.owner = owner;
    this.lossRandom = new SplittableRandom(seed + 1);
    this.engine =
        new EngineModel(settings.deployment().engine(), new SplittableRandom(seed), now());
    owner.add(this);
    scheduleReport();
  }

  long crashes() {
    return crashes;
  }

  BackendCondition condition() {
    return new BackendCondition("run-" + engine.incarnation(), engine.isCold(now()));
  }

  /** Submits a request to the engine and registers the receiver of its progress. */
  SubmitResult submit(EngineRequest request, Stream stream) {
    advanceEngine();
    streams.put(request.id(), stream);
    SubmitResult result = engine.submit(request, now());
    if (result == SubmitResult.DOWN || result == SubmitResult.TOO_LARGE) {
      streams.remove(request.id());
    }
    advanceEngine();
    return result;
  }

  void turnCold() {
    engine.turnCold(now());
    advanceEngine();
  }

  private Instant now() {
    long micros = queue.nowMicros();
    return Instant.ofEpochSecond(micros / 1_000_000, micros % 1_000_000 * 1_000);
  }

  private static long micros(Instant at) {
    return at.getEpochSecond() * 1_000_000 + at.getNano() / 1_000;
  }

  /**
   * Advances the engine to the current time, delivers its events and schedules the next wake-up.
   */
  private void advanceEngine() {
    engine.advanceTo(now());
    engine.drain().forEach(this::deliver);
    engine.nextEvent().ifPresent(next -> scheduleWakeUp(micros(next) + 1));
  }

  private void scheduleWakeUp(long atMicros) {
    if (atMicros >= nextWakeUpMicros) {
      return;
    }
    nextWakeUpMicros = atMicros;
    queue.scheduleAt(
        atMicros,
        () -> {
          if (nextWakeUpMicros <= queue.nowMicros()) {
            nextWakeUpMicros = Long.MAX_VALUE;
          }
          advanceEngine();
        });
  }

  private void deliver(EngineEvent event) {
    switch (event) {
      case EngineEvent.Token token -> findStream(token.id()).onToken(micros(token.at()));
      case EngineEvent.Preempted preempted -> findStream(preempted.id()).onPreempted();
      case EngineEvent.Finished finished ->
          removeStream(finished.id()).onFinished(micros(finished.at()));
      case EngineEvent.Crashed crashed -> handleCrash(crashed);
      case EngineEvent.PrefixStored stored -> sendCacheEvent(true, stored.block());
      case EngineEvent.PrefixEvicted evicted -> sendCacheEvent(false, evicted.block());
      case EngineEvent.Batched batched -> {}
      case EngineEvent.Restarted restarted -> {}
    }
  }

  private Stream findStream(String id) {
    Stream stream = streams.get(id);
    if (stream == null) {
      throw new IllegalStateException("no stream for request " + id);
    }
    return stream;
  }

  private Stream removeStream(String id) {
    Stream stream = findStream(id);
    streams.remove(id);
    return stream;
  }

  private void handleCrash(EngineEvent.Crashed crashed) {
    crashes++;
    for (String id : crashed.lost()) {
      removeStream(id).onCrashed();
    }
  }

  private void sendCacheEvent(boolean stored, long block) {
    long number = cacheEvents++;
    if (lossRandom.nextDouble() < settings.cacheEventLossFraction()) {
      return;
    }
    queue.scheduleAfter(
        settings.cacheEventLagMillis() * 1_000,
        () ->
            owner.apply(
                shard -> shard.recordCacheEvent(description.name(), number, stored, block)));
  }

  private void scheduleReport() {
    queue.scheduleAfter(
        settings.reportPeriodMillis() * 1_000,
        () -> {
          sendReport();
          scheduleReport();
        });
  }

  private void sendReport() {
    advanceEngine();
    if (engine.isDown()) {
      return;
    }
    LoadReport report =
        new LoadReport(
            condition(),
            engine.running(),
            engine.waiting(),
            engine.memoryUsedTokens(),
            description.memoryTokens(),
            engine.preemptions());
    queue.scheduleAfter(
        settings.reportLagMillis() * 1_000,
        () -> owner.apply(shard -> shard.recordLoadReport(description.name(), report)));
  }
}
