package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.cactusseam.model.gateway.EngineReport;

/**
 * Keeps the newest report of each engine and derives the free memory for copies of runs from it.
 * The loads that VMs exchange are not suitable for this: they count the memory that runs are
 * expected to need at their end. Several engines leave at the same time, and copies whose target
 * was chosen by these loads were often rejected until the run was lost.
 */
public final class EngineReports {

  /** Maximum age of a usable report. Runs grow by about 100 tokens per second, and they end. */
  static final Duration MAX_AGE = Duration.ofSeconds(1);

  /** Minimum time between two polls of an engine. Engines renew their reports about as often. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(400);

  /** Age of a report on arrival (report_lag_ms of the engine). */
  private static final Duration REPORT_LAG = Duration.ofMillis(500);

  private final Map<String, ReceivedReport> received = new HashMap<>();
  private final Map<String, Deque<Reservation>> reservations = new HashMap<>();
  private final Map<String, Instant> polledAt = new HashMap<>();

  private record ReceivedReport(EngineReport report, Instant at) {}

  private record Reservation(int tokens, Instant at) {}

  /** Stores a report that has just arrived. */
  public void put(String engineId, EngineReport report, Instant now) {
    received.put(engineId, new ReceivedReport(report, now));
  }

  /**
   * Reserves memory at an engine because this VM starts to copy a run to it. The reservation ends
   * with the first report that includes the copy.
   *
   * @param engineId identifier of the engine that receives the copy
   * @param tokens size of the copy, in tokens
   */
  public void reserveForCopy(String engineId, int tokens, Instant now) {
    reservations
        .computeIfAbsent(engineId, id -> new ArrayDeque<>())
        .addLast(new Reservation(tokens, now));
  }

  /**
   * Returns whether an engine is due to be polled for its report, and if so records the poll.
   *
   * @return whether no poll was recorded within the last 400 ms
   */
  public boolean tryStartPoll(String engineId, Instant now) {
    Instant polled = polledAt.get(engineId);
    if (polled != null && polled.plus(POLL_INTERVAL).isAfter(now)) {
      return false;
    }
    polledAt.put(engineId, now);
    return true;
  }

  /**
   * Returns the free memory of an engine.
   *
   * @return tokens that are neither used nor reserved for copies in progress; empty without a
   *     usable report
   */
  public OptionalInt freeTokens(String engineId, Instant now) {
    Optional<ReceivedReport> newestUsable = newestUsable(engineId, now);
    if (newestUsable.isEmpty() || newestUsable.get().report().memoryTotal() <= 0) {
      return OptionalInt.empty();
    }
    Instant includedUntil = newestUsable.get().at().minus(REPORT_LAG);
    Deque<Reservation> pending = reservations.getOrDefault(engineId, new ArrayDeque<>());
    while (!pending.isEmpty() && pending.peekFirst().at().isBefore(includedUntil)) {
      pending.removeFirst();
    }
    EngineReport report = newestUsable.get().report();
    int reserved = pending.stream().mapToInt(Reservation::tokens).sum();
    return OptionalInt.of(report.memoryTotal() - report.memoryUsed() - reserved);
  }

  /**
   * Returns the size of a run on an engine.
   *
   * @param engineId identifier of the engine
   * @param attemptId identifier of the attempt that started the run
   * @return tokens in memory; empty if no usable report lists the run
   */
  public OptionalInt runTokens(String engineId, String attemptId, Instant now) {
    Optional<Integer> tokens =
        newestUsable(engineId, now)
            .flatMap(each -> Optional.ofNullable(each.report().runTokens().get(attemptId)));
    return tokens.map(OptionalInt::of).orElseGet(OptionalInt::empty);
  }

  /**
   * Removes all data of an engine, because it has restarted or left.
   *
   * @param engineId identifier of the engine
   */
  public void forget(String engineId) {
    received.remove(engineId);
    reservations.remove(engineId);
    polledAt.remove(engineId);
  }

  private Optional<ReceivedReport> newestUsable(String engineId, Instant now) {
    return Optional.ofNullable(received.get(engineId))
        .filter(each -> !each.at().plus(MAX_AGE).isBefore(now));
  }
}
