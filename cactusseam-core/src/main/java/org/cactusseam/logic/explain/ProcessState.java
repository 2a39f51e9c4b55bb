package org.cactusseam.logic.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * What a process believed at a moment, and since when: a decision with an old view explains many
 * failures. Built from its lines in their order.
 */
final class ProcessState {

  private final Map<String, Instant> configurations = new HashMap<>();
  private final Map<String, Instant> listed = new HashMap<>();
  private final Map<String, Instant> leaving = new HashMap<>();
  private final Map<String, Instant> topicsLost = new HashMap<>();

  void apply(LogLine line) {
    switch (line.event()) {
      case "configuration" ->
          line.field("version").ifPresent(version -> configurations.put(version, line.time()));
      case "server_listed" ->
          line.field("server")
              .ifPresent(
                  server -> {
                    listed.put(server, line.time());
                    leaving.remove(server);
                  });
      case "server_leaving" ->
          line.field("server").ifPresent(server -> leaving.put(server, line.time()));
      case "store_lost" ->
          line.field("topic").ifPresent(topic -> topicsLost.putIfAbsent(topic, line.time()));
      case "store_regained" -> line.field("topic").ifPresent(topicsLost::remove);
      default -> {
        // Other events change nothing that decisions are based on.
      }
    }
  }

  /** Describes the view that a line was written with; empty for lines that name none. */
  Optional<String> behind(LogLine line) {
    Set<String> parts = new TreeSet<>();
    line.field("configuration")
        .map(configurations::get)
        .ifPresent(since -> parts.add("configuration in force for " + age(since, line)));
    line.field("server").ifPresent(server -> describe(server, line, parts));
    if (!parts.isEmpty()) {
      topicsLost.forEach(
          (topic, since) ->
              parts.add("store not readable (" + topic + ") for " + age(since, line)));
    }
    return parts.isEmpty() ? Optional.empty() : Optional.of(String.join("; ", parts));
  }

  private void describe(String server, LogLine line, Set<String> parts) {
    if (listed.containsKey(server)) {
      parts.add("server listed for " + age(listed.get(server), line));
    }
    if (leaving.containsKey(server)) {
      parts.add("server known to leave for " + age(leaving.get(server), line));
    }
  }

  private static String age(Instant since, LogLine line) {
    return Duration.between(since, line.time()).toMillis() + " ms";
  }
}
