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
 * Sends the loads of owned shards to the peers. Every owner sends to every peer, which is most of
 * its traffic at the planned size. Requesters treat all shards without a wait alike, whatever their
 * counts are, so the loads of such shards are only repeated at an interval. Confined to the control
 * thread.
 */
final class LoadPublisher {

  /**
   * Interval at which the load of a shard without a wait is repeated. It bounds how long a
   * requester assumes a wait that has ended, if the message about its end was lost with a
   * connection or overtaken by one from an earlier owner.
   */
  static final Duration REPEAT_INTERVAL = Duration.ofSeconds(2);

  private final Clock clock;
  private final Supplier<List<PeerMessage.ShardLoadEntry>> loads;
  private final ShardLoads localLoads;
  private final Consumer<PeerMessage> peerSender;
  private final Map<ShardId, Instant> lastSentWithoutWait = new HashMap<>();

  LoadPublisher(
      Clock clock,
      Supplier<List<PeerMessage.ShardLoadEntry>> loads,
      ShardLoads localLoads,
      Consumer<PeerMessage> peerSender) {
    this.clock = clock;
    this.loads = loads;
    this.localLoads = localLoads;
    this.peerSender = peerSender;
  }

  /**
   * Updates the local loads of all shards for which this daemon may grant permits, and sends those
   * to the peers that have a wait, whose wait has ended, or whose repetition is due.
   */
  void publish() {
    List<PeerMessage.ShardLoadEntry> current = loads.get();
    localLoads.update(current);
    List<PeerMessage.ShardLoadEntry> dueLoads = dueLoads(current);
    if (!dueLoads.isEmpty()) {
      peerSender.accept(new PeerMessage.Loads(dueLoads));
    }
  }

  private List<PeerMessage.ShardLoadEntry> dueLoads(List<PeerMessage.ShardLoadEntry> current) {
    // Another owner published the load of a shard that this daemon did not own in the meantime, so
    // the next one has to be sent.
    lastSentWithoutWait
        .keySet()
        .retainAll(
            current.stream().map(PeerMessage.ShardLoadEntry::shard).collect(Collectors.toSet()));
    Instant now = clock.instant();
    return current.stream().filter(load -> isDue(load, now)).toList();
  }

  private boolean isDue(PeerMessage.ShardLoadEntry load, Instant now) {
    if (!load.load().startsImmediately()) {
      lastSentWithoutWait.remove(load.shard());
      return true;
    }
    Instant lastSent = lastSentWithoutWait.get(load.shard());
    if (lastSent != null && now.isBefore(lastSent.plus(REPEAT_INTERVAL))) {
      return false;
    }
    lastSentWithoutWait.put(load.shard(), now);
    return true;
  }
}
