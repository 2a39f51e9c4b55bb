package org.cactusseam.edge.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.message.PeerMessage;

/**
 * Chooses which loads of owned shards the peers have to hear. Every owner sends to every peer,
 * which at the planned size is most of what it sends; a shard without a wait is the same to a
 * requester however its counts change, so such loads are only repeated. Confined to the control
 * thread.
 */
final class LoadPublisher {

  /**
   * Bounds how long a requester believes in a wait that is over, if the message about its end was
   * lost with a connection or overtaken by one of an earlier owner.
   */
  static final Duration REPEAT_INTERVAL = Duration.ofSeconds(2);

  private final Clock clock;
  private final Supplier<List<PeerMessage.ShardLoadEntry>> loads;
  private final ShardLoads local;
  private final Consumer<PeerMessage> peers;
  private final Map<ShardId, Instant> sentWithoutWait = new HashMap<>();

  LoadPublisher(
      Clock clock,
      Supplier<List<PeerMessage.ShardLoadEntry>> loads,
      ShardLoads local,
      Consumer<PeerMessage> peers) {
    this.clock = clock;
    this.loads = loads;
    this.local = local;
    this.peers = peers;
  }

  /**
   * Gives the loads of all shards that this daemon may grant for to its own requests, and to its
   * peers those with a wait, those whose wait is over and repetitions that are due.
   */
  void publish() {
    List<PeerMessage.ShardLoadEntry> current = loads.get();
    local.published(current);
    List<PeerMessage.ShardLoadEntry> due = due(current);
    if (!due.isEmpty()) {
      peers.accept(new PeerMessage.Loads(due));
    }
  }

  private List<PeerMessage.ShardLoadEntry> due(List<PeerMessage.ShardLoadEntry> current) {
    // A shard that comes back was published by another owner in the meantime.
    sentWithoutWait
        .keySet()
        .retainAll(
            current.stream().map(PeerMessage.ShardLoadEntry::shard).collect(Collectors.toSet()));
    Instant now = clock.instant();
    return current.stream().filter(load -> isDue(load, now)).toList();
  }

  private boolean isDue(PeerMessage.ShardLoadEntry load, Instant now) {
    if (!load.load().startsImmediately()) {
      sentWithoutWait.remove(load.shard());
      return true;
    }
    Instant last = sentWithoutWait.get(load.shard());
    if (last != null && now.isBefore(last.plus(REPEAT_INTERVAL))) {
      return false;
    }
    sentWithoutWait.put(load.shard(), now);
    return true;
  }
}
