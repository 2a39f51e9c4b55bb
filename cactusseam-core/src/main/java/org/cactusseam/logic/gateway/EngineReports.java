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
 * The newest reports of engines, which tell the room for copies of runs. Answers the load pattern
 * of an engine that leaves: the loads that VMs tell each other count what runs are expected to need
 * at their end, and several engines leave at a time, so that a copy chosen by them is often
 * rejected until its run is lost.
 */
public final class EngineReports {

  /** A report is not used longer: runs grow by some 100 tokens a second, and end. */
  static final Duration USABLE = Duration.ofSeconds(1);

  /** A report younger than this is not asked for again; engines renew it about as often. */
  private static final Duration RENEWAL = Duration.ofMillis(400);

  /** Age of a report when it arrives (site files, report_lag_ms). */
  private static final Duration LAG = Duration.ofMillis(500);

  private final Map<String, Received> received = new HashMap<>();
  private final Map<String, Deque<Copying>> copying = new HashMap<>();
  private final Map<String, Instant> askedAt = new HashMap<>();

  private record Received(EngineReport report, Instant at) {}

  private record Copying(int tokens, Instant at) {}

  /**
   * Takes a report.
   *
   * @param engineId engine
   * @param report report
   * @param now time
   */
  public void put(String engineId, EngineReport report, Instant now) {
    received.put(engineId, new Received(report, now));
  }

  /**
   * Takes it that this VM starts to copy a run to an engine.
   *
   * @param engineId engine that receives the copy
   * @param tokens tokens of the run
   * @param now time
   */
  public void reserveForCopy(String engineId, int tokens, Instant now) {
    copying.computeIfAbsent(engineId, id -> new ArrayDeque<>()).addLast(new Copying(tokens, now));
  }

  /**
   * Returns whether an engine should be asked for its report, and counts it as asked.
   *
   * @param engineId engine
   * @param now time
   * @return whether its report is old and it has not been asked a short time ago
   */
  public boolean tryStartPoll(String engineId, Instant now) {
    Instant asked = askedAt.get(engineId);
    if (asked != null && asked.plus(RENEWAL).isAfter(now)) {
      return false;
    }
    askedAt.put(engineId, now);
    return true;
  }

  /**
   * Returns the room of an engine.
   *
   * @param engineId engine
   * @param now time
   * @return tokens that are neither used nor taken by copies on their way; nothing without a report
   *     of use
   */
  public OptionalInt freeTokens(String engineId, Instant now) {
    Optional<Received> newest = newest(engineId, now);
    if (newest.isEmpty() || newest.get().report().memoryTotal() <= 0) {
      return OptionalInt.empty();
    }
    Instant contained = newest.get().at().minus(LAG);
    Deque<Copying> copies = copying.getOrDefault(engineId, new ArrayDeque<>());
    while (!copies.isEmpty() && copies.peekFirst().at().isBefore(contained)) {
      copies.removeFirst();
    }
    EngineReport report = newest.get().report();
    int onTheWay = copies.stream().mapToInt(Copying::tokens).sum();
    return OptionalInt.of(report.memoryTotal() - report.memoryUsed() - onTheWay);
  }

  /**
   * Returns the size of a run.
   *
   * @param engineId engine that runs it
   * @param attemptId its attempt
   * @param now time
   * @return tokens in memory, if a report of use names the run
   */
  public OptionalInt runTokens(String engineId, String attemptId, Instant now) {
    Optional<Integer> tokens =
        newest(engineId, now)
            .flatMap(each -> Optional.ofNullable(each.report().runTokens().get(attemptId)));
    return tokens.map(OptionalInt::of).orElseGet(OptionalInt::empty);
  }

  /**
   * Forgets an engine.
   *
   * @param engineId engine that has started again or left
   */
  public void forget(String engineId) {
    received.remove(engineId);
    copying.remove(engineId);
    askedAt.remove(engineId);
  }

  private Optional<Received> newest(String engineId, Instant now) {
    return Optional.ofNullable(received.get(engineId))
        .filter(each -> !each.at().plus(USABLE).isBefore(now));
  }
}
