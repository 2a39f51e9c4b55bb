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

/**
 * Guards against requesters that expect another wait than the owner of a shard published, because a
 * load was not sent or a message was lost, repeated or overtaken.
 */
class LoadPublisherTest {

  private static final Duration PUBLISH_INTERVAL = Duration.ofMillis(250);
  private static final ShardId SHARD = new ShardId(new PoolName("llm"), new RegionName("ost"), 0);
  private static final ShardId OTHER = new ShardId(new PoolName("llm"), new RegionName("ost"), 1);
  private static final ShardLoad IDLE = new ShardLoad(0, 3, 64, 20, List.of(0L, 0L));
  private static final ShardLoad BUSY = new ShardLoad(0, 60, 64, 10, List.of(0L, 0L));
  private static final ShardLoad QUEUED = new ShardLoad(9, 64, 64, 20, List.of(0L, 180L));
  private static final ShardLoad OVERCOMMITTED = new ShardLoad(0, 65, 64, 20, List.of(0L, 0L));
  private static final ShardLoad UNAVAILABLE = new ShardLoad(0, 0, 0, 0, List.of(0L));

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

  /**
   * Publishes a load, advances the clock by one interval and returns the messages that were sent to
   * peers.
   */
  private List<PeerMessage> publish(ShardLoad load) {
    sent.clear();
    owned.put(SHARD, load);
    publisher.publish();
    clock.advance(PUBLISH_INTERVAL.toMillis());
    return List.copyOf(sent);
  }

  private void deliver(List<PeerMessage> messages) {
    for (PeerMessage message : messages) {
      requester.update(((PeerMessage.Loads) message).loads());
    }
  }

  private double expectedWaitOfRequester() {
    return requester.expectedWaitMillis(SHARD, 1);
  }

  @Test
  void a_shard_without_a_wait_is_sent_once_and_then_repeated() {
    int messageCount = 0;
    long steps = 10 * REPEAT_INTERVAL.dividedBy(PUBLISH_INTERVAL);
    for (int step = 0; step < steps; step++) {
      messageCount += publish(step % 2 == 0 ? IDLE : BUSY).size();
    }
    assertThat(messageCount, is(10));
  }

  static List<ShardLoad> loadsWithAWait() {
    return List.of(QUEUED, OVERCOMMITTED, UNAVAILABLE);
  }

  @ParameterizedTest
  @MethodSource("loadsWithAWait")
  void a_load_with_a_wait_and_the_first_one_after_it_are_always_sent(ShardLoad load) {
    publish(IDLE);
    assertThat(publish(IDLE), is(empty()));
    for (int step = 0; step < 20; step++) {
      assertThat(publish(load), hasSize(1));
    }
    assertThat(publish(IDLE), hasSize(1));
    assertThat(publish(IDLE), is(empty()));
  }

  @ParameterizedTest
  @MethodSource("loadsWithAWait")
  void without_faults_a_requester_expects_the_same_wait_as_if_every_load_were_sent(
      ShardLoad loadWithAWait) {
    ShardLoads withEveryLoad = new ShardLoads();
    for (ShardLoad load :
        List.of(IDLE, BUSY, loadWithAWait, loadWithAWait, IDLE, BUSY, IDLE, loadWithAWait, IDLE)) {
      deliver(publish(load));
      withEveryLoad.update(loads());
      for (int requests = 0; requests < 3; requests++) {
        requester.recordSent(SHARD);
        withEveryLoad.recordSent(SHARD);
        assertThat(expectedWaitOfRequester(), is(withEveryLoad.expectedWaitMillis(SHARD, 1)));
      }
    }
  }

  @Test
  void a_shard_that_is_owned_again_is_sent_at_once() {
    publish(IDLE);
    owned.clear();
    publisher.publish();
    assertThat(publish(IDLE), hasSize(1));
  }

  @Test
  void one_shard_with_a_wait_does_not_cause_others_to_be_repeated() {
    owned.put(OTHER, QUEUED);
    publish(IDLE);
    List<PeerMessage> second = publish(IDLE);
    assertThat(
        second,
        is(List.of(new PeerMessage.Loads(List.of(new PeerMessage.ShardLoadEntry(OTHER, QUEUED))))));
  }

  /**
   * Faults on the way to a requester, by name. Each gets the messages about a wait and about its
   * end.
   */
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
  void after_a_fault_the_expected_wait_is_right_within_one_repetition(
      String name, BiConsumer<LoadPublisherTest, List<List<PeerMessage>>> fault) {
    deliver(publish(IDLE));
    fault.accept(this, List.of(publish(QUEUED), publish(IDLE)));
    for (Duration passed = Duration.ZERO;
        passed.compareTo(REPEAT_INTERVAL) < 0;
        passed = passed.plus(PUBLISH_INTERVAL)) {
      deliver(publish(IDLE));
    }
    assertThat(expectedWaitOfRequester(), is(0.0));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void after_a_fault_the_expected_wait_is_right_with_the_next_load(
      String name, BiConsumer<LoadPublisherTest, List<List<PeerMessage>>> fault) {
    fault.accept(this, List.of(publish(QUEUED), publish(IDLE)));
    deliver(publish(QUEUED));
    assertThat(expectedWaitOfRequester(), is(180.0));
  }

  @Test
  void a_restarted_owner_ends_the_wait_that_its_previous_process_published() {
    deliver(publish(QUEUED));
    owned.put(SHARD, IDLE);
    List<PeerMessage> afterRestart = new ArrayList<>();
    publisher(afterRestart).publish();
    deliver(afterRestart);
    assertThat(expectedWaitOfRequester(), is(0.0));
  }

  /** A load without a wait is sent every 2 s instead of every 250 ms, so one message replaces 8. */
  @Test
  void an_idle_shard_takes_an_eighth_of_the_bytes() {
    long bytesOfEveryLoad = 0;
    long publishedBytes = 0;
    for (int step = 0; step < 80; step++) {
      publishedBytes += bytes(publish(IDLE));
      bytesOfEveryLoad += bytes(List.of(new PeerMessage.Loads(loads())));
    }
    assertThat(publishedBytes, greaterThan(0L));
    assertThat(publishedBytes, is(bytesOfEveryLoad / 8));
  }

  private static long bytes(List<PeerMessage> messages) {
    return messages.stream().mapToLong(message -> PeerCodec.encode(message).length()).sum();
  }
}
