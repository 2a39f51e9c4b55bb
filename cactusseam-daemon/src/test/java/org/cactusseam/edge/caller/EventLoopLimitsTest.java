package org.cactusseam.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.cactusseam.edge.client.ClientMemory;
import org.cactusseam.edge.settings.Settings;
import org.junit.jupiter.api.Test;

/** Guards against limits of an event loop that do not fit the process or a single request. */
class EventLoopLimitsTest {

  private static final int MEGABYTE = 1 << 20;

  private static Settings.Limits limits(int bodyBytes, int headerBytes) {
    return new Settings.Limits(bodyBytes, headerBytes, 256, 4_096, Duration.ofSeconds(30), 40, 128);
  }

  @Test
  void event_loops_share_the_memory_and_the_descriptors_of_the_process() {
    EventLoopLimits part = EventLoopLimits.of(limits(MEGABYTE, 16_384), 2, 100_000_000, 4_096);

    assertThat(part.memoryBytes(), is(20_000_000L));
    assertThat(part.maximumConnections(), is(992));
  }

  /** Guards against a part of a small heap in which the largest request is never served. */
  @Test
  void a_part_is_not_smaller_than_the_largest_request_needs() {
    EventLoopLimits part =
        EventLoopLimits.of(limits(64 * MEGABYTE, MEGABYTE), 2, 100_000_000, 4_096);

    assertThat(
        part.memoryBytes(), is(ClientMemory.minimumBytes(64 * MEGABYTE, part.maxHeadBytes())));
  }

  /** Guards against a daemon that accepts nothing, or overflows, at unusual limits. */
  @Test
  void the_number_of_connections_is_positive_at_every_limit_on_descriptors() {
    Settings.Limits limits = limits(MEGABYTE, 16_384);

    assertThat(EventLoopLimits.of(limits, 2, 1L << 30, 64).maximumConnections(), is(1));
    assertThat(
        EventLoopLimits.of(limits, 2, 1L << 30, Long.MAX_VALUE).maximumConnections(),
        is(Integer.MAX_VALUE));
  }
}
