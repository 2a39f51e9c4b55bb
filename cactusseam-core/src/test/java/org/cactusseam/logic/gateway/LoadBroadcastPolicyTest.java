package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.cactusseam.logic.gateway.ServerLoads.ServerLoad;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against placement by loads that are out of date. */
class LoadBroadcastPolicyTest {

  /** Target latency of the short streams. */
  private static final long TARGET_MILLIS = 1_500;

  /** What VMs that know of each other only by messages may lose against a single one. */
  private static final double LATE_MORE = 0.03;

  private static final Map<String, ServerLoad> PROMPT = Map.of("e", new ServerLoad(1, 10, 9));
  private static final Map<String, ServerLoad> READ = Map.of("e", new ServerLoad(1, 10, 0));

  private final LoadBroadcastPolicy news = new LoadBroadcastPolicy();
  private Instant now = Instant.EPOCH;

  private boolean tell(Map<String, ServerLoad> loads, int others, long afterMillis) {
    now = now.plusMillis(afterMillis);
    boolean due = news.isDue(loads, others, now);
    if (due) {
      news.recordBroadcast(loads, others, now);
    }
    return due;
  }

  private static double late(List<Long> firstEvents) {
    return firstEvents.stream().filter(millis -> millis > TARGET_MILLIS).count()
        / (double) firstEvents.size();
  }

  /**
   * Replays the grown deployments, where 65 VMs told their loads once a second and a third of the
   * tags had their first event late, because VMs had chosen the same idle engine.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void many_vms_spread_prompts_nearly_as_well_as_a_single_one(long seed) {
    double single = late(new PromptLoadReplay(1, seed).firstEvents());
    double many = late(new PromptLoadReplay(65, seed).firstEvents());

    assertThat(many, lessThanOrEqualTo(single + LATE_MORE));
  }

  @Test
  void prompts_are_told_at_once() {
    tell(Map.of(), 64, 0);

    assertThat(tell(PROMPT, 64, 1), is(true));
    assertThat(tell(READ, 64, 1), is(true));
  }

  @Test
  void other_changes_wait_for_the_interval() {
    tell(READ, 64, 0);

    assertThat(tell(Map.of(), 64, 900), is(false));
    assertThat(tell(Map.of(), 64, 200), is(true));
  }

  /** Others forget a VM that falls silent. */
  @Test
  void unchanged_loads_are_told_again() {
    tell(READ, 9, 0);

    assertThat(tell(READ, 9, 500), is(false));
    assertThat(tell(READ, 9, 501), is(true));
  }

  /** Guards against a number of messages that grows with the square of the VMs. */
  @ParameterizedTest
  @ValueSource(ints = {64, 299})
  void messages_are_bounded_however_often_prompts_change(int others) {
    int sent = 0;
    for (int change = 0; change < 20_000; change++) {
      sent += tell(change % 2 == 0 ? PROMPT : READ, others, 1) ? others : 0;
    }

    assertThat(sent / 20.0, greaterThan(60.0));
    assertThat(sent / Duration.ofMillis(20_000).toSeconds(), lessThan(120L + others));
  }
}
