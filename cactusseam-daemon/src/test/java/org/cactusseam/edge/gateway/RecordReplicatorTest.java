package org.cactusseam.edge.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.StorePosition;
import org.cactusseam.model.gateway.StoreRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against configuration changes that saturate the links between regions, or that do not
 * reach gateways which the store rejects. Simulates the 65 gateways of a scaled-up deployment, all
 * of which read a change of the configuration at the same time.
 */
class RecordReplicatorTest {

  private static final int GATEWAYS = 65;
  private static final int CONFIGURATION_BYTES = 20_000;

  /** A tenth of a second on a link of 42 Mbit/s between two regions. */
  private static final int LINK_BYTES = 42_000_000 / 8 / 10;

  private static final long TICK_MILLIS = 50;

  private final PausedClock clock = new PausedClock();
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Deque<Runnable> deliveries = new ArrayDeque<>();
  private final Set<String> crashed = new HashSet<>();
  private long crossRegionBytes;

  private final class Node implements RecordCache, RecordReplicator.Peers {
    private final String name;
    private final Map<String, StoreRecord> latest = new HashMap<>();
    private final RecordReplicator replicator;
    private Receiver receiver = (record, urgent) -> {};
    private boolean storeUnavailable;

    Node(int number) {
      name = (number % 2 == 0 ? "ost-" : "west-") + number;
      replicator = new RecordReplicator(clock, name, this, this);
    }

    void read(StoreRecord record, boolean urgent) {
      if (!knows(record)) {
        latest.put(record.key(), record);
        receiver.onRecordRead(record, urgent);
      }
    }

    boolean knows(StoreRecord record) {
      return Optional.ofNullable(latest.get(record.key()))
          .filter(known -> known.position().compareTo(record.position()) >= 0)
          .isPresent();
    }

    void receive(GatewayMessage message) {
      switch (message) {
        case GatewayMessage.RecordsRequest request -> replicator.onRequest(request);
        case GatewayMessage.RecordsAccepted accepted -> replicator.onAccepted(accepted);
        case GatewayMessage.RecordOffer offer -> replicator.onOffer(offer);
        case GatewayMessage.RecordFetch fetch -> replicator.onFetch(fetch);
        case GatewayMessage.RecordUpdate update -> replicator.onUpdate(update);
        default -> throw new AssertionError("not a message about records: " + message);
      }
    }

    @Override
    public List<StoreRecord> latest() {
      return List.copyOf(latest.values());
    }

    @Override
    public Optional<StoreRecord> latest(String topic, String key) {
      return Optional.ofNullable(latest.get(key));
    }

    @Override
    public boolean isKnown(String topic, String key, StorePosition position) {
      return knows(new StoreRecord(topic, key, position, Optional.empty()));
    }

    @Override
    public List<StoreRecord> held() {
      return List.of();
    }

    @Override
    public void apply(StoreRecord record) {
      if (!knows(record)) {
        latest.put(record.key(), record);
      }
    }

    @Override
    public boolean isStoreUnavailable() {
      return storeUnavailable;
    }

    @Override
    public void setGatewayCount(int number) {}

    @Override
    public void onPeerLost() {}

    @Override
    public void setReceiver(Receiver newReceiver) {
      receiver = newReceiver;
    }

    @Override
    public List<String> connected() {
      return nodes.keySet().stream().filter(each -> !each.equals(name)).toList();
    }

    @Override
    public boolean isOwnRegion(String node) {
      return node.charAt(0) == name.charAt(0);
    }

    @Override
    public void send(Collection<String> receivers, GatewayMessage message) {
      int bytes = GatewayMessageCodec.encode(message).length();
      for (String node : receivers) {
        crossRegionBytes += isOwnRegion(node) ? 0 : bytes;
        if (!crashed.contains(node) && !crashed.contains(name)) {
          deliveries.add(() -> nodes.get(node).receive(message));
        }
      }
    }
  }

  @BeforeEach
  void startGateways() {
    IntStream.range(0, GATEWAYS).mapToObj(Node::new).forEach(node -> nodes.put(node.name, node));
  }

  private static StoreRecord record(String key, long offset, int bytes) {
    return new StoreRecord(
        "topic", key, new StorePosition(0, offset), Optional.of(new byte[bytes]));
  }

  private void deliver() {
    while (!deliveries.isEmpty()) {
      deliveries.poll().run();
    }
  }

  private void run(long millis) {
    for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
      clock.advance(TICK_MILLIS);
      nodes.values().forEach(node -> node.replicator.tick(clock.instant()));
      deliver();
    }
  }

  private long countWithoutRecord(StoreRecord record) {
    return nodes.values().stream().filter(node -> !node.knows(record)).count();
  }

  /**
   * Guards against a saturated link between regions: when each gateway sent the configuration to
   * all others, it took 5.8 s to reach the other region.
   */
  @Test
  void a_change_that_all_gateways_read_does_not_saturate_the_link_between_regions() {
    StoreRecord change = record("config", 7, CONFIGURATION_BYTES);
    nodes.values().forEach(node -> node.read(change, true));
    run(1_000);

    assertThat(crossRegionBytes, lessThan((long) LINK_BYTES));
  }

  @ParameterizedTest(name = "every {0}th gateway reads")
  @ValueSource(ints = {2, 3, 5, 13})
  void a_change_reaches_gateways_that_do_not_read_it(int everyNth) {
    StoreRecord change = record("config", 7, CONFIGURATION_BYTES);
    List<Node> all = List.copyOf(nodes.values());
    IntStream.range(0, GATEWAYS)
        .filter(index -> index % everyNth == 0)
        .forEach(index -> all.get(index).read(change, true));
    run(500);

    assertThat(countWithoutRecord(change), is(0L));
  }

  /**
   * Guards against a change that is lost because a gateway crashes right after it has offered it.
   */
  @Test
  void a_change_is_fetched_from_another_gateway_when_the_first_has_crashed() {
    StoreRecord change = record("config", 7, CONFIGURATION_BYTES);
    nodes.get("ost-0").read(change, true);
    nodes.get("ost-2").read(change, true);
    deliver();
    crashed.add("ost-0");
    run(1_000);

    assertThat(nodes.values().stream().filter(node -> !node.knows(change)).toList().size(), is(0));
  }

  @Test
  void a_short_change_is_sent_to_all_at_once() {
    StoreRecord leaving = record("engine-1", 8, 300);
    nodes.get("west-1").read(leaving, true);
    deliver();

    assertThat(countWithoutRecord(leaving), is(0L));
  }

  /**
   * Guards against repeated transfers: when a third of the gateways asked one peer after the other
   * for all records, they did so 342 times in 9 s.
   */
  @Test
  void gateways_that_the_store_rejects_get_all_records_once_from_their_own_region() {
    for (int key = 0; key < 38; key++) {
      StoreRecord record = record("key-" + key, key, key == 0 ? CONFIGURATION_BYTES : 300);
      nodes.values().forEach(node -> node.latest.put(record.key(), record));
    }
    List<Node> all = List.copyOf(nodes.values());
    for (int index = 0; index < GATEWAYS; index += 3) {
      all.get(index).storeUnavailable = true;
    }
    run(9_000);
    assertThat(crossRegionBytes, lessThanOrEqualTo(0L));

    StoreRecord refresh = record("key-1", 99, 300);
    all.get(1).read(refresh, false);
    all.get(2).read(refresh, false);
    for (Node node : all) {
      node.read(refresh, false);
      deliver();
    }
    assertThat(countWithoutRecord(refresh), is(0L));
  }
}
