package org.cactusseam.standin.engine;

import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.cactusseam.logic.replay.EngineEvent;
import org.cactusseam.logic.replay.EngineModel;

/** Advances the engine model in real time and passes its events to a consumer. */
final class RealTimeEngineRunner {

  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final Clock clock;
  private final EngineModel model;
  private final Consumer<List<EngineEvent>> eventConsumer;
  private long timer = NO_TIMER;

  RealTimeEngineRunner(
      Vertx vertx, Clock clock, EngineModel model, Consumer<List<EngineEvent>> eventConsumer) {
    this.vertx = vertx;
    this.clock = clock;
    this.model = model;
    this.eventConsumer = eventConsumer;
  }

  EngineModel model() {
    return model;
  }

  Instant now() {
    return clock.instant();
  }

  /** Advances the model to the current time, delivers its events and schedules the next step. */
  void advance() {
    model.advanceTo(now());
    List<EngineEvent> events = model.drain();
    if (!events.isEmpty()) {
      eventConsumer.accept(events);
    }
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
    model.nextEvent().ifPresent(this::schedule);
  }

  private void schedule(Instant next) {
    // Timers have a resolution of 1 ms; if steps are shorter, the model processes several at once.
    long delayMs = Math.max(1, Duration.between(now(), next).plusNanos(999_999).toMillis());
    timer =
        vertx.setTimer(
            delayMs,
            fired -> {
              timer = NO_TIMER;
              advance();
            });
  }
}
