package org.cactusseam.edge.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.admission.PermitRequestId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against missed crashes, invented crashes and reports that omit the cause. */
class CrashDetectorTest {

  private static final Instant NOW = Instant.parse("2026-03-01T10:00:00Z");
  private static final PermitRequestId FIRST = attempt(1);
  private static final PermitRequestId SECOND = attempt(2);
  private static final PermitRequestId LATE = attempt(3);

  private final CrashDetector runs = new CrashDetector();

  private static PermitRequestId attempt(long sequence) {
    return new PermitRequestId(new NodeName("entry-1"), "b1", sequence);
  }

  @BeforeEach
  void start() {
    runs.heard("i1", NOW);
    runs.started(FIRST, "first");
    runs.started(SECOND, "second");
  }

  private static Optional<CrashDetector.Crash> crashOfBoth() {
    return Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first", SECOND, "second")));
  }

  @Test
  void a_broken_stream_and_a_refused_connection_are_a_crash_of_all_that_ran() {
    assertThat(runs.broke(FIRST, NOW), is(Optional.empty()));
    assertThat(runs.awaits(SECOND), is(true));
    assertThat(runs.refused(), is(crashOfBoth()));
  }

  @Test
  void a_broken_stream_and_another_incarnation_are_a_crash() {
    runs.broke(FIRST, NOW);

    assertThat(runs.heard("i2", NOW.plusMillis(1)), is(crashOfBoth()));
  }

  @Test
  void a_stream_that_breaks_after_the_new_incarnation_is_known_is_a_crash_of_the_former_run() {
    runs.heard("i2", NOW);
    runs.started(LATE, "late");

    assertThat(runs.broke(SECOND, NOW), is(crashOfBoth()));
    assertThat(runs.broke(FIRST, NOW), is(Optional.empty()));
  }

  @Test
  void a_request_that_the_new_run_confirmed_is_no_suspect() {
    runs.heard("i2", NOW);
    runs.confirmed(SECOND, "i2", NOW);

    assertThat(
        runs.broke(FIRST, NOW),
        is(Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first")))));
  }

  @Test
  void a_broken_stream_alone_is_no_crash_and_an_older_report_does_not_rule_one_out() {
    runs.broke(FIRST, NOW);

    runs.heard("i1", NOW.minusMillis(1));
    assertThat(runs.isSuspected(), is(true));
    runs.heard("i1", NOW.plusMillis(1));
    assertThat(runs.isSuspected(), is(false));
    assertThat(runs.refused(), is(Optional.empty()));
  }

  @Test
  void a_request_that_ended_before_the_break_is_no_suspect() {
    runs.ended(SECOND);
    runs.broke(FIRST, NOW);

    assertThat(
        runs.refused(), is(Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first")))));
  }

  private Optional<CrashDetector.Crash> detect(boolean refused) {
    return refused ? runs.refused() : runs.heard("i2", NOW.plusMillis(9));
  }

  /** The break can be a fault of the network, and the server then crashes by the later request. */
  @ParameterizedTest(name = "the later request broke {0}, connection refused {1}")
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void a_request_granted_between_a_break_and_the_crash_is_in_the_report(
      boolean broke, boolean refused) {
    runs.broke(FIRST, NOW);
    runs.started(LATE, "late");
    if (broke) {
      runs.broke(LATE, NOW.plusMillis(5));
      assertThat(runs.awaits(LATE), is(true));
    }

    assertThat(
        detect(refused),
        is(
            Optional.of(
                new CrashDetector.Crash(
                    "i1", Map.of(FIRST, "first", SECOND, "second", LATE, "late")))));
  }

  @Test
  void a_report_asked_for_before_a_later_break_does_not_rule_out_a_crash() {
    runs.broke(FIRST, NOW);
    runs.broke(SECOND, NOW.plusMillis(2));

    runs.heard("i1", NOW.plusMillis(1));

    assertThat(runs.isSuspected(), is(true));
    assertThat(runs.refused(), is(crashOfBoth()));
  }

  @Test
  void a_request_that_the_next_run_confirms_first_is_no_suspect_and_stays_watched() {
    runs.broke(FIRST, NOW);
    runs.started(LATE, "late");

    assertThat(runs.confirmed(LATE, "i2", NOW.plusMillis(1)), is(crashOfBoth()));
    runs.broke(LATE, NOW.plusMillis(2));
    assertThat(
        runs.heard("i3", NOW.plusMillis(3)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(LATE, "late")))));
  }

  @Test
  void a_suspect_that_the_next_run_confirms_later_stays_watched() {
    runs.broke(FIRST, NOW);
    runs.started(LATE, "late");
    runs.heard("i2", NOW.plusMillis(1));
    runs.confirmed(LATE, "i2", NOW.plusMillis(2));

    runs.broke(LATE, NOW.plusMillis(3));

    assertThat(
        runs.heard("i3", NOW.plusMillis(4)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(LATE, "late")))));
  }

  @Test
  void a_request_that_was_granted_before_the_break_and_confirmed_by_the_next_run_stays_watched() {
    runs.broke(FIRST, NOW);

    assertThat(
        runs.confirmed(SECOND, "i2", NOW.plusMillis(1)),
        is(Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first")))));
    runs.broke(SECOND, NOW.plusMillis(2));
    assertThat(
        runs.heard("i3", NOW.plusMillis(3)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(SECOND, "second")))));
  }

  @Test
  void a_request_that_is_sent_to_the_next_run_after_a_refused_connection_stays_watched() {
    runs.broke(FIRST, NOW);
    runs.started(LATE, "late");
    runs.broke(SECOND, NOW.plusMillis(1));
    runs.refused();
    runs.confirmed(LATE, "i2", NOW.plusMillis(2));

    runs.broke(LATE, NOW.plusMillis(3));

    assertThat(
        runs.heard("i3", NOW.plusMillis(4)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(LATE, "late")))));
  }
}
