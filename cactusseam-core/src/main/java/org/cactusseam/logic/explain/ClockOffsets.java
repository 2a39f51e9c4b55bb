package org.cactusseam.logic.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How far the clocks of processes differ, estimated from what all of them log: the same version of
 * the configuration comes into force everywhere within a short time. The median over the versions
 * ignores the few that one process learned late.
 */
public final class ClockOffsets {

  /**
   * Differences up to this are left as they are: so long may a change take to reach a process
   * (bounds of the deployments, 2.5 to 4 s).
   */
  private static final Duration REACH = Duration.ofSeconds(4);

  private static final String SHARED_EVENT = "configuration";
  private static final String SHARED_FIELD = "version";

  private final Map<String, Duration> offsets = new HashMap<>();

  /**
   * Estimates offsets.
   *
   * @param lines lines of all processes
   * @param reference process whose clock is taken as right
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
    Map<String, Instant> right = versions.getOrDefault(reference, Map.of());
    versions.forEach((source, times) -> offsets.put(source, median(times, right)));
  }

  private static Duration median(Map<String, Instant> times, Map<String, Instant> right) {
    List<Duration> differences = new ArrayList<>();
    times.forEach(
        (version, time) -> {
          if (right.containsKey(version)) {
            differences.add(Duration.between(right.get(version), time));
          }
        });
    if (differences.isEmpty()) {
      return Duration.ZERO;
    }
    Collections.sort(differences);
    Duration median = differences.get(differences.size() / 2);
    return median.abs().compareTo(REACH) > 0 ? median : Duration.ZERO;
  }

  /**
   * Returns how far the clock of a process is ahead of the reference.
   *
   * @param source process
   * @return difference, zero if it is unknown or within the time that a change takes to spread
   */
  public Duration of(String source) {
    return offsets.getOrDefault(source, Duration.ZERO);
  }

  /**
   * Returns the time of a line by the clock of the reference.
   *
   * @param line line
   * @return corrected time
   */
  public Instant corrected(LogLine line) {
    return line.time().minus(of(line.source()));
  }
}
