package org.cactusseam.logic.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against clients that use up the memory of a process, and against refusals without need.
 */
class MemoryBudgetTest {

  private static final Instant START = Instant.EPOCH;
  private static final Duration WAIT = Duration.ofMillis(500);
  private static final int LARGE = 100;

  private final MemoryBudget<String> budget =
      new MemoryBudget<>(new MemoryBudget.Limits(1_000, 250, 600, 10, WAIT));

  private void fill(int owners, String address) {
    for (int index = 0; index < owners; index++) {
      budget.reserve(address + index, address, LARGE, START);
    }
  }

  /** Guards against limits below the largest request of the configuration. */
  @ParameterizedTest
  @ValueSource(ints = {64, 100, 256})
  void the_default_share_of_a_small_heap_admits_the_largest_request(int heapMegabytes) {
    long total = (long) ((heapMegabytes << 20) * 0.4);
    MemoryBudget<String> ofHeap = new MemoryBudget<>(MemoryBudget.Limits.ofTotal(total));

    assertThat(ofHeap.reserve("a", "x", (4 << 20) + (32 << 10), START), is(true));
  }

  @ParameterizedTest
  @CsvSource({"6, true", "7, false"})
  void one_address_has_a_share(int held, boolean expected) {
    fill(held - 1, "x");

    assertThat(budget.reserve("next", "x", LARGE, START), is(expected));
    assertThat(budget.reserve("other", "y", LARGE, START), is(true));
  }

  @Test
  void small_reservations_are_granted_when_large_ones_wait() {
    fill(6, "x");
    fill(2, "y");

    assertThat(budget.isExhausted(), is(true));
    assertThat(budget.reserve("small", "x", 10, START), is(true));
  }

  @Test
  void what_waits_is_granted_in_order_of_arrival() {
    fill(9, "x");
    budget.release("x3");
    budget.release("x4");

    assertThat(budget.takeGranted(), contains("x6", "x7"));
    assertThat(budget.isExhausted(), is(true));
  }

  @Test
  void what_waits_too_long_is_refused_and_holds_nothing() {
    fill(7, "x");

    assertThat(budget.takeRefused(START.plus(WAIT)), empty());
    assertThat(budget.takeRefused(START.plus(WAIT).plusMillis(1)), contains("x6"));
    assertThat(budget.heldBytes(), is(600L));
    assertThat(budget.isExhausted(), is(false));
  }

  /** Guards against refusals of all that waits when a frozen process wakes up. */
  @Test
  void time_in_which_the_process_was_stopped_is_not_waited_for() {
    fill(7, "x");
    Instant woken = START.plusSeconds(9);
    budget.skipTime(Duration.ofSeconds(9), woken);

    assertThat(budget.takeRefused(woken.plus(WAIT)), empty());
    assertThat(budget.takeRefused(woken.plus(WAIT).plusMillis(1)), contains("x6"));
  }

  /** Guards against a body that grows without an announced length and holds others up for ever. */
  @Test
  void growing_reservations_that_block_each_other_are_refused() {
    budget.reserve("a", "x", 300, START);
    budget.reserve("b", "y", 300, START);
    budget.reserve("a", "x", 600, START);
    budget.reserve("b", "y", 600, START.plusMillis(1));

    assertThat(budget.takeRefused(START.plus(WAIT).plusMillis(1)), contains("a"));
    assertThat(budget.takeGranted(), contains("b"));
    assertThat(budget.heldBytes(), is(600L));
  }

  /**
   * Guards against sums that drift: every sequence stays within the total and ends with nothing.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void random_sequences_stay_within_the_total(long seed) {
    Random random = new Random(seed);
    Instant now = START;
    for (int step = 0; step < 2_000; step++) {
      now = now.plusMillis(random.nextInt(40));
      String owner = "o" + random.nextInt(30);
      long held = budget.heldBytes(owner).orElse(0);
      if (random.nextInt(3) > 0) {
        budget.reserve(owner, "a" + random.nextInt(3), held + random.nextInt(200), now);
      } else {
        budget.release(owner);
      }
      budget.takeGranted();
      budget.takeRefused(now);
      assertThat(budget.heldBytes(), lessThanOrEqualTo(1_000L));
    }
    for (int index = 0; index < 30; index++) {
      budget.release("o" + index);
    }
    assertThat(budget.heldBytes(), is(0L));
    assertThat(budget.isExhausted(), is(false));
  }
}
