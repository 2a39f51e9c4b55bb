package org.cactusseam.logic.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the clock offsets between processes from their log lines. All processes log when a
 * version of the configuration takes effect, which happens everywhere within a short time. The
 * median over the versions is robust against a few versions that a process received late.
 */
public final class ClockOffsets {

  /**
   * Differences up to this value are not corrected, because a configuration change may take this
   * long to reach a process. The deployments limit this time to 2.5 to 4 s.
   */
  private static final Duration PROPAGATION_LIMIT = Duration.ofSeconds(4);

  private static final String SHARED_EVENT = "configuration";
  private static final String SHARED_FIELD = "version";

  private final Map<String, Duration> offsets = new HashMap<>();

  /**
   * Estimates the offsets of all processes from a reference.
   *
   * @param lines log lines of all processes
   * @param reference process whose clock is the reference
   */
  public ClockOffsets(List<LogLine> lines, String reference) {
    Map<String, Map<String, Instant>> versions = new HashMap<>();
    for (LogLine line : lines) {
      if (line.event().equals(SHARED_EVENT)) {
        line.field(SHARED_FIELD)
            .ifPresent(
                version ->
                    versions
                        .computeIfAbsent(line.source(), source -> new HashMap<>())
                        .putIfAbsent(version, line.time()));
      }
    }
    Map<String, Instant> referenceTimes = versions.getOrDefault(reference, Map.of());
    versions.forEach((source, times) -> offsets.put(source, median(times, referenceTimes)));
  }

  private static Duration median(Map<String, Instant> times, Map<String, Instant> referenceTimes) {
    List<Duration> differences = new ArrayList<>();
    times.forEach(
        (version, time) -> {
          if (referenceTimes.containsKey(version)) {
            differences.add(Duration.between(referenceTimes.get(version), time));
          }
        });
    if (differences.isEmpty()) {
      return Duration.ZERO;
    }
    Collections.sort(differences);
    Duration median = differences.get(differences.size() / 2);
    return median.abs().compareTo(PROPAGATION_LIMIT) > 0 ? median : Duration.ZERO;
  }

  /**
   * Returns how far the clock of a process is ahead of the reference.
   *
   * @param source name of the process
   * @return offset; zero if it is unknown or not greater than the propagation time of a change
   */
  public Duration of(String source) {
    return offsets.getOrDefault(source, Duration.ZERO);
  }

  /**
   * Returns the time of a log line according to the reference clock.
   *
   * @param line log line
   * @return time of the line, corrected by the offset of its process
   */
  public Instant corrected(LogLine line) {
    return line.time().minus(of(line.source()));
  }
}
