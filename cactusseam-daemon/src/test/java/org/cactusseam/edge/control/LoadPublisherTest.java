package org.cactusseam.edge.control;

import static org.cactusseam.edge.control.LoadPublisher.REPEAT_INTERVAL;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.cactusseam.edge.peer.PeerCodec;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.ShardLoad;
import org.cactusseam.model.message.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against requesters that believe in another wait than the owner published. */
class LoadPublisherTest {

  private static final Duration STEP = Duration.ofMillis(250);
  private static final ShardId SHARD = new ShardId(new PoolName("llm"), new RegionName("ost"), 0);
  private static final ShardId OTHER = new ShardId(new PoolName("llm"), new RegionName("ost"), 1);
  private static final ShardLoad FREE = new ShardLoad(0, 3, 64, 20, List.of(0L, 0L));
  private static final ShardLoad BUSIER = new ShardLoad(0, 60, 64, 10, List.of(0L, 0L));
  private static final ShardLoad QUEUE = new ShardLoad(9, 64, 64, 20, List.of(0L, 180L));
  private static final ShardLoad OVERFULL = new ShardLoad(0, 65, 64, 20, List.of(0L, 0L));
  private static final ShardLoad OUT = new ShardLoad(0, 0, 0, 0, List.of(0L));

  private final PausedClock clock = new PausedClock();
  private final Map<ShardId, ShardLoad> owned = new TreeMap<>();
  private final List<PeerMessage> sent = new ArrayList<>();
  private final LoadPublisher publisher = publisher(sent);
  private ShardLoads requester = new ShardLoads();

  private LoadPublisher publisher(List<PeerMessage> messages) {
    return new LoadPublisher(clock, this::loads, new ShardLoads(), messages::add);
  }

  private List<PeerMessage.ShardLoadEntry> loads() {
    return owned.entrySet().stream()
        .map(entry -> new PeerMessage.ShardLoadEntry(entry.getKey(), entry.getValue()))
        .toList();
  }

  /** Publishes and returns what was sent to peers. */
  private List<PeerMessage> publish(ShardLoad load) {
    sent.clear();
    owned.put(SHARD, load);
    publisher.publish();
    clock.advance(STEP.toMillis());
    return List.copyOf(sent);
  }

  private void deliver(List<PeerMessage> messages) {
    for (PeerMessage message : messages) {
      requester.published(((PeerMessage.Loads) message).loads());
    }
  }

  private double believed() {
    return requester.expectedWaitMillis(SHARD, 1);
  }

  @Test
  void a_shard_without_a_wait_is_sent_once_and_then_repeated() {
    int messages = 0;
    long steps = 10 * REPEAT_INTERVAL.dividedBy(STEP);
    for (int step = 0; step < steps; step++) {
      messages += publish(step % 2 == 0 ? FREE : BUSIER).size();
    }
    assertThat(messages, is(10));
  }

  static List<ShardLoad> loadsWithAWait() {
    return List.of(QUEUE, OVERFULL, OUT);
  }

  @ParameterizedTest
  @MethodSource("loadsWithAWait")
  void a_load_with_a_wait_and_its_end_are_always_sent(ShardLoad load) {
    publish(FREE);
    assertThat(publish(FREE), is(empty()));
    for (int step = 0; step < 20; step++) {
      assertThat(publish(load), hasSize(1));
    }
    assertThat(publish(FREE), hasSize(1));
    assertThat(publish(FREE), is(empty()));
  }

  @ParameterizedTest
  @MethodSource("loadsWithAWait")
  void without_faults_a_requester_chooses_as_if_every_load_were_sent(ShardLoad waits) {
    ShardLoads complete = new ShardLoads();
    for (ShardLoad load : List.of(FREE, BUSIER, waits, waits, FREE, BUSIER, FREE, waits, FREE)) {
      deliver(publish(load));
      complete.published(loads());
      for (int requests = 0; requests < 3; requests++) {
        requester.sent(SHARD);
        complete.sent(SHARD);
        assertThat(believed(), is(complete.expectedWaitMillis(SHARD, 1)));
      }
    }
  }

  @Test
  void a_shard_that_comes_back_is_sent_at_once() {
    publish(FREE);
    owned.clear();
    publisher.publish();
    assertThat(publish(FREE), hasSize(1));
  }

  @Test
  void one_shard_with_a_wait_does_not_repeat_the_others() {
    owned.put(OTHER, QUEUE);
    publish(FREE);
    List<PeerMessage> second = publish(FREE);
    assertThat(
        second,
        is(List.of(new PeerMessage.Loads(List.of(new PeerMessage.ShardLoadEntry(OTHER, QUEUE))))));
  }

  /** What happens to the messages about a wait and about its end on the way to a requester. */
  private static final Map<String, BiConsumer<LoadPublisherTest, List<List<PeerMessage>>>> FAULTS =
      Map.of(
          "the message about the end is lost",
          (test, messages) -> test.deliver(messages.get(0)),
          "both messages are lost",
          (test, messages) -> {},
          "the message about the end is overtaken, as by one of an earlier owner",
          (test, messages) -> {
            test.deliver(messages.get(1));
            test.deliver(messages.get(0));
          },
          "the message about the wait comes twice",
          (test, messages) -> {
            test.deliver(messages.get(0));
            test.deliver(messages.get(1));
            test.deliver(messages.get(0));
          },
          "the requester restarts",
          (test, messages) -> {
            messages.forEach(test::deliver);
            test.requester = new ShardLoads();
          });

  static List<Arguments> faults() {
    return FAULTS.entrySet().stream()
        .map(entry -> Arguments.of(entry.getKey(), entry.getValue()))
        .toList();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void after_a_fault_the_wait_is_right_within_one_repetition(
      String name, BiConsumer<LoadPublisherTest, List<List<PeerMessage>>> fault) {
    deliver(publish(FREE));
    fault.accept(this, List.of(publish(QUEUE), publish(FREE)));
    for (Duration passed = Duration.ZERO;
        passed.compareTo(REPEAT_INTERVAL) < 0;
        passed = passed.plus(STEP)) {
      deliver(publish(FREE));
    }
    assertThat(believed(), is(0.0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void after_a_fault_a_wait_is_right_with_the_next_load(
      String name, BiConsumer<LoadPublisherTest, List<List<PeerMessage>>> fault) {
    fault.accept(this, List.of(publish(QUEUE), publish(FREE)));
    deliver(publish(QUEUE));
    assertThat(believed(), is(180.0));
  }

  @Test
  void a_restarted_owner_ends_the_wait_that_its_earlier_run_published() {
    deliver(publish(QUEUE));
    owned.put(SHARD, FREE);
    List<PeerMessage> afterRestart = new ArrayList<>();
    publisher(afterRestart).publish();
    deliver(afterRestart);
    assertThat(believed(), is(0.0));
  }

  /** The bound is the reduction that the intervals promise: 8 loads by one. */
  @Test
  void an_idle_shard_costs_an_eighth_of_the_bytes() {
    long all = 0;
    long published = 0;
    for (int step = 0; step < 80; step++) {
      published += bytes(publish(FREE));
      all += bytes(List.of(new PeerMessage.Loads(loads())));
    }
    assertThat(published, greaterThan(0L));
    assertThat(published, is(all / 8));
  }

  private static long bytes(List<PeerMessage> messages) {
    return messages.stream().mapToLong(message -> PeerCodec.encode(message).length()).sum();
  }
}
