package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Servers that have announced that they leave, and when the runs on them must have moved. */
public final class Departures {

  /**
   * Time before its end at which runs stop at a server: the last part of each copy, some 20 ms for
   * each run, and the age of the server's report.
   */
  static final Duration MARGIN = Duration.ofMillis(450);

  /**
   * Time from the notice to the stop for a server that does not say when it ends. Reclaimed engines
   * are gone 1.5 s after their notice or later (site files), which is known 0.3 s late.
   */
  static final Duration WITHOUT_END = Duration.ofMillis(850);

  /** Servers are gone some seconds after their notice; their identity is not used again before. */
  private static final Duration KEPT = Duration.ofSeconds(30);

  private final Map<String, Departure> departures = new HashMap<>();

  private record Departure(Instant noticedAt, Optional<Instant> endsAt) {}

  /**
   * A server has announced that it leaves.
   *
   * @param serverId server
   * @param now time
   * @return whether this was not known
   */
  public boolean noticed(String serverId, Instant now) {
    departures.values().removeIf(departure -> departure.noticedAt().plus(KEPT).isBefore(now));
    return departures.putIfAbsent(serverId, new Departure(now, Optional.empty())) == null;
  }

  /**
   * A server says when it ends.
   *
   * @param serverId server
   * @param endsAt time of its end
   */
  public void endsAt(String serverId, Instant endsAt) {
    departures.computeIfPresent(
        serverId, (id, known) -> new Departure(known.noticedAt(), Optional.of(endsAt)));
  }

  /**
   * A server takes requests again, or another one has its identity.
   *
   * @param serverId server
   */
  public void cancelled(String serverId) {
    departures.remove(serverId);
  }

  /**
   * Returns when runs are to stop at a server.
   *
   * @param serverId server
   * @return time, absent if the server does not leave
   */
  public Optional<Instant> stopAt(String serverId) {
    return Optional.ofNullable(departures.get(serverId))
        .map(
            departure ->
                departure
                    .endsAt()
                    .map(end -> end.minus(MARGIN))
                    .orElse(departure.noticedAt().plus(WITHOUT_END)));
  }
}
