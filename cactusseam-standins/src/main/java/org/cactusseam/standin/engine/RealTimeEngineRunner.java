package org.cactusseam.standin.engine;

import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.cactusseam.logic.replay.EngineEvent;
import org.cactusseam.logic.replay.EngineModel;

/** Runs the engine model in real time. */
final class RealTimeEngineRunner {

  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final Clock clock;
  private final EngineModel model;
  private final Consumer<List<EngineEvent>> sink;
  private long timer = NO_TIMER;

  RealTimeEngineRunner(
      Vertx vertx, Clock clock, EngineModel model, Consumer<List<EngineEvent>> sink) {
    this.vertx = vertx;
    this.clock = clock;
    this.model = model;
    this.sink = sink;
  }

  EngineModel model() {
    return model;
  }

  Instant now() {
    return clock.instant();
  }

  /** Processes what is due and sets a timer for the next step. */
  void run() {
    model.advanceTo(now());
    List<EngineEvent> events = model.drain();
    if (!events.isEmpty()) {
      sink.accept(events);
    }
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
    model.nextEvent().ifPresent(this::schedule);
  }

  private void schedule(Instant next) {
    // Timers have a resolution of 1 ms; the model catches up on several steps if they are shorter.
    long delayMs = Math.max(1, Duration.between(now(), next).plusNanos(999_999).toMillis());
    timer =
        vertx.setTimer(
            delayMs,
            fired -> {
              timer = NO_TIMER;
              run();
            });
  }
}
