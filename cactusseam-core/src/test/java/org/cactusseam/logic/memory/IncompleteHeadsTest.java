package org.cactusseam.logic.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against many incomplete heads that leave no memory for ordinary requests. */
class IncompleteHeadsTest {

  private final IncompleteHeads<String> heads =
      new IncompleteHeads<>(new MemoryBudget.Limits(1_000, 400, 600, 10, Duration.ZERO), 150);

  @Test
  void the_oldest_are_closed_until_the_others_are_within_the_limit() {
    heads.record("a", 90);
    heads.record("b", 100);
    heads.record("c", 100);
    assertThat(heads.takeExcess(), empty());

    heads.record("a", 100);
    heads.record("d", 100);
    assertThat(heads.takeExcess(), contains("a"));
    assertThat(heads.takeExcess(), empty());
  }

  @Test
  void a_head_over_its_own_limit_is_closed_before_older_ones() {
    heads.record("a", 150);
    heads.record("b", 151);

    assertThat(heads.takeExcess(), contains("b"));
  }

  @Test
  void a_complete_head_does_not_count() {
    heads.record("a", 140);
    heads.record("b", 140);
    heads.remove("a");
    heads.record("c", 140);

    assertThat(heads.takeExcess(), empty());
  }
}
