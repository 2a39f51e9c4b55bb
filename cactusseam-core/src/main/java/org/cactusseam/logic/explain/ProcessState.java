package org.cactusseam.logic.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * State of the system as known to a process at a given time, reconstructed from its log lines in
 * order. Decisions that were based on stale state explain many failures.
 */
final class ProcessState {

  private final Map<String, Instant> configurationTimes = new HashMap<>();
  private final Map<String, Instant> listedTimes = new HashMap<>();
  private final Map<String, Instant> leavingTimes = new HashMap<>();
  private final Map<String, Instant> unreadableTopics = new HashMap<>();

  void apply(LogLine line) {
    switch (line.event()) {
      case "configuration" ->
          line.field("version").ifPresent(version -> configurationTimes.put(version, line.time()));
      case "server_listed" ->
          line.field("server")
              .ifPresent(
                  server -> {
                    listedTimes.put(server, line.time());
                    leavingTimes.remove(server);
                  });
      case "server_leaving" ->
          line.field("server").ifPresent(server -> leavingTimes.put(server, line.time()));
      case "store_lost" ->
          line.field("topic").ifPresent(topic -> unreadableTopics.putIfAbsent(topic, line.time()));
      case "store_regained" -> line.field("topic").ifPresent(unreadableTopics::remove);
      default -> {
        // Other events do not change the state on which decisions are based.
      }
    }
  }

  /**
   * Describes the state on which a log line was based; empty for lines that refer to no
   * configuration and no server.
   */
  Optional<String> describeStateAt(LogLine line) {
    Set<String> parts = new TreeSet<>();
    line.field("configuration")
        .map(configurationTimes::get)
        .ifPresent(since -> parts.add("configuration in force for " + age(since, line)));
    line.field("server").ifPresent(server -> addServerState(server, line, parts));
    if (!parts.isEmpty()) {
      unreadableTopics.forEach(
          (topic, since) ->
              parts.add("store not readable (" + topic + ") for " + age(since, line)));
    }
    return parts.isEmpty() ? Optional.empty() : Optional.of(String.join("; ", parts));
  }

  private void addServerState(String server, LogLine line, Set<String> parts) {
    if (listedTimes.containsKey(server)) {
      parts.add("server listed for " + age(listedTimes.get(server), line));
    }
    if (leavingTimes.containsKey(server)) {
      parts.add("server known to leave for " + age(leavingTimes.get(server), line));
    }
  }

  private static String age(Instant since, LogLine line) {
    return Duration.between(since, line.time()).toMillis() + " ms";
  }
}
