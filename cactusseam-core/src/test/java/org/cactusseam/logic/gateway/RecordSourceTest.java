package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against gateways that repeatedly receive all records, or that receive none. */
class RecordSourceTest {

  private static final List<String> VMS = List.of("vm-1", "vm-2", "vm-3");

  private final RecordSource source = new RecordSource();

  private String next(List<String> candidates, long atMillis) {
    return source.next(candidates, Instant.ofEpochMilli(atMillis)).orElse("none");
  }

  @Test
  void a_source_that_answers_is_kept() {
    for (long millis = 0; millis < 9_000; millis += 700) {
      assertThat(next(VMS, millis), is("vm-1"));
      source.answered("vm-1", Instant.ofEpochMilli(millis + 40));
    }
  }

  /** Other gateways may be unable to read the store as well. */
  @Test
  void a_source_that_does_not_answer_is_replaced_by_the_next_candidate() {
    next(VMS, 0);
    source.answered("vm-3", Instant.ofEpochMilli(1_400));

    assertThat(next(VMS, 1_400), is("vm-1"));
    assertThat(next(VMS, 1_500), is("vm-2"));
    assertThat(next(VMS, 3_000), is("vm-3"));
    assertThat(next(VMS, 4_500), is("vm-1"));
  }

  @Test
  void a_disconnected_source_is_replaced() {
    next(VMS, 0);

    assertThat(next(List.of("vm-2", "vm-3"), 10), is("vm-2"));
    assertThat(source.next(List.of(), Instant.ofEpochMilli(20)), is(Optional.empty()));
  }
}
