package org.cactusseam.logic.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cactusseam.model.admission.ShardLoad;

/** Summarizes the load of a shard for requesters that choose between shards. */
final class LoadSummary {

  private LoadSummary() {}

  static ShardLoad of(
      Collection<ServerState> servers,
      WaitingAttempts waiting,
      ServiceRate serviceRate,
      int open,
      long now) {
    int limit =
        servers.stream()
            .filter(ServerState::inService)
            .mapToInt(server -> Math.min(server.limit(), server.description().warmLimit()))
            .sum();
    int ahead = 0;
    List<Long> waits = new ArrayList<>();
    for (int rank = 0; rank < WaitingAttempts.RANKS; rank++) {
      ahead += waiting.size(rank);
      waits.add((long) serviceRate.waitMillis(ahead, open, now));
    }
    double perAttempt = serviceRate.waitMillis(1, open, now);
    return new ShardLoad(waiting.size(), open, limit, perAttempt, waits);
  }
}
