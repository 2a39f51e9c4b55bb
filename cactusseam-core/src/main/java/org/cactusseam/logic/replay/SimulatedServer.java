package org.cactusseam.logic.replay;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;

/** An engine in a replay with its connections, load reports and cache events. */
final class SimulatedServer {

  final BackendServer description;
  final String region;
  final EngineModel engine;

  private final EventQueue queue;
  private final ReplaySettings settings;
  private final SimulatedShardOwner owner;
  private final SplittableRandom losses;
  private final Map<String, Stream> streams = new HashMap<>();
  private long cacheEvents;
  private long crashes;
  private long wakeAt = Long.MAX_VALUE;

  /** Receiver of what an engine does with one request. */
  interface Stream {
    /** A token left the engine. */
    void token(long atMicros);

    /** The request lost its memory and waits again. */
    void preempted();

    /** The request ended whole. */
    void finished(long atMicros);

    /** The engine crashed. */
    void broke();
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
    this.losses = new SplittableRandom(seed + 1);
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

  /** Hands a request to the engine and connects its stream. */
  SubmitResult submit(EngineRequest request, Stream stream) {
    pump();
    streams.put(request.id(), stream);
    SubmitResult result = engine.submit(request, now());
    if (result == SubmitResult.DOWN || result == SubmitResult.TOO_LARGE) {
      streams.remove(request.id());
    }
    pump();
    return result;
  }

  void turnCold() {
    engine.turnCold(now());
    pump();
  }

  private Instant now() {
    long micros = queue.nowMicros();
    return Instant.ofEpochSecond(micros / 1_000_000, micros % 1_000_000 * 1_000);
  }

  private static long micros(Instant at) {
    return at.getEpochSecond() * 1_000_000 + at.getNano() / 1_000;
  }

  /** Delivers what the engine did and plans the next wake-up. */
  private void pump() {
    engine.advanceTo(now());
    engine.drain().forEach(this::deliver);
    engine.nextEvent().ifPresent(next -> wake(micros(next) + 1));
  }

  private void wake(long atMicros) {
    if (atMicros >= wakeAt) {
      return;
    }
    wakeAt = atMicros;
    queue.at(
        atMicros,
        () -> {
          if (wakeAt <= queue.nowMicros()) {
            wakeAt = Long.MAX_VALUE;
          }
          pump();
        });
  }

  private void deliver(EngineEvent event) {
    switch (event) {
      case EngineEvent.Token token -> stream(token.id()).token(micros(token.at()));
      case EngineEvent.Preempted preempted -> stream(preempted.id()).preempted();
      case EngineEvent.Finished finished ->
          disconnect(finished.id()).finished(micros(finished.at()));
      case EngineEvent.Crashed crashed -> crash(crashed);
      case EngineEvent.PrefixStored stored -> cacheEvent(true, stored.block());
      case EngineEvent.PrefixEvicted evicted -> cacheEvent(false, evicted.block());
      case EngineEvent.Batched batched -> {}
      case EngineEvent.Restarted restarted -> {}
    }
  }

  private Stream stream(String id) {
    Stream stream = streams.get(id);
    if (stream == null) {
      throw new IllegalStateException("no stream for request " + id);
    }
    return stream;
  }

  private Stream disconnect(String id) {
    Stream stream = stream(id);
    streams.remove(id);
    return stream;
  }

  private void crash(EngineEvent.Crashed crashed) {
    crashes++;
    for (String id : crashed.lost()) {
      disconnect(id).broke();
    }
  }

  private void cacheEvent(boolean stored, long block) {
    long number = cacheEvents++;
    if (losses.nextDouble() < settings.cacheEventLossPart()) {
      return;
    }
    queue.after(
        settings.cacheEventLagMillis() * 1_000,
        () ->
            owner.apply(
                shard -> shard.recordCacheEvent(description.name(), number, stored, block)));
  }

  private void scheduleReport() {
    queue.after(
        settings.reportPeriodMillis() * 1_000,
        () -> {
          report();
          scheduleReport();
        });
  }

  private void report() {
    pump();
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
    queue.after(
        settings.reportLagMillis() * 1_000,
        () -> owner.apply(shard -> shard.recordLoadReport(description.name(), report)));
  }
}
