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

/**
 * Guards against crashes that are missed, against crashes that did not happen, and against crash
 * reports that omit the request that caused the crash.
 */
class CrashDetectorTest {

  private static final Instant NOW = Instant.parse("2026-03-01T10:00:00Z");
  private static final PermitRequestId FIRST = attempt(1);
  private static final PermitRequestId SECOND = attempt(2);
  private static final PermitRequestId LATE = attempt(3);

  private final CrashDetector detector = new CrashDetector();

  private static PermitRequestId attempt(long sequence) {
    return new PermitRequestId(new NodeName("entry-1"), "b1", sequence);
  }

  @BeforeEach
  void startAttempts() {
    detector.recordIncarnation("i1", NOW);
    detector.recordStart(FIRST, "first");
    detector.recordStart(SECOND, "second");
  }

  private static Optional<CrashDetector.Crash> crashOfBoth() {
    return Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first", SECOND, "second")));
  }

  @Test
  void a_broken_stream_and_a_refused_connection_are_a_crash_of_all_running_attempts() {
    assertThat(detector.recordBrokenStream(FIRST, NOW), is(Optional.empty()));
    assertThat(detector.isSuspect(SECOND), is(true));
    assertThat(detector.recordRefusedConnection(), is(crashOfBoth()));
  }

  @Test
  void a_broken_stream_and_a_new_incarnation_are_a_crash() {
    detector.recordBrokenStream(FIRST, NOW);

    assertThat(detector.recordIncarnation("i2", NOW.plusMillis(1)), is(crashOfBoth()));
  }

  @Test
  void a_stream_that_breaks_after_the_new_incarnation_is_known_is_a_crash_of_the_previous_one() {
    detector.recordIncarnation("i2", NOW);
    detector.recordStart(LATE, "late");

    assertThat(detector.recordBrokenStream(SECOND, NOW), is(crashOfBoth()));
    assertThat(detector.recordBrokenStream(FIRST, NOW), is(Optional.empty()));
  }

  @Test
  void an_attempt_that_the_new_incarnation_answers_is_no_suspect() {
    detector.recordIncarnation("i2", NOW);
    detector.recordConfirmation(SECOND, "i2", NOW);

    assertThat(
        detector.recordBrokenStream(FIRST, NOW),
        is(Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first")))));
  }

  @Test
  void a_broken_stream_alone_is_no_crash_and_an_older_load_report_does_not_rule_one_out() {
    detector.recordBrokenStream(FIRST, NOW);

    detector.recordIncarnation("i1", NOW.minusMillis(1));
    assertThat(detector.isSuspected(), is(true));
    detector.recordIncarnation("i1", NOW.plusMillis(1));
    assertThat(detector.isSuspected(), is(false));
    assertThat(detector.recordRefusedConnection(), is(Optional.empty()));
  }

  @Test
  void an_attempt_that_ended_before_the_break_is_no_suspect() {
    detector.recordEnd(SECOND);
    detector.recordBrokenStream(FIRST, NOW);

    assertThat(
        detector.recordRefusedConnection(),
        is(Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first")))));
  }

  private Optional<CrashDetector.Crash> detect(boolean refused) {
    return refused
        ? detector.recordRefusedConnection()
        : detector.recordIncarnation("i2", NOW.plusMillis(9));
  }

  /**
   * The break can be a network fault, after which the server crashes on the attempt that was
   * granted later.
   */
  @ParameterizedTest(name = "later stream broke: {0}, connection refused: {1}")
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void an_attempt_granted_between_a_break_and_the_crash_is_a_suspect(
      boolean laterStreamBroke, boolean refused) {
    detector.recordBrokenStream(FIRST, NOW);
    detector.recordStart(LATE, "late");
    if (laterStreamBroke) {
      detector.recordBrokenStream(LATE, NOW.plusMillis(5));
      assertThat(detector.isSuspect(LATE), is(true));
    }

    assertThat(
        detect(refused),
        is(
            Optional.of(
                new CrashDetector.Crash(
                    "i1", Map.of(FIRST, "first", SECOND, "second", LATE, "late")))));
  }

  @Test
  void a_load_report_requested_before_a_later_break_does_not_rule_out_a_crash() {
    detector.recordBrokenStream(FIRST, NOW);
    detector.recordBrokenStream(SECOND, NOW.plusMillis(2));

    detector.recordIncarnation("i1", NOW.plusMillis(1));

    assertThat(detector.isSuspected(), is(true));
    assertThat(detector.recordRefusedConnection(), is(crashOfBoth()));
  }

  @Test
  void an_attempt_first_answered_by_the_next_incarnation_is_a_suspect_only_of_its_crash() {
    detector.recordBrokenStream(FIRST, NOW);
    detector.recordStart(LATE, "late");

    assertThat(detector.recordConfirmation(LATE, "i2", NOW.plusMillis(1)), is(crashOfBoth()));
    detector.recordBrokenStream(LATE, NOW.plusMillis(2));
    assertThat(
        detector.recordIncarnation("i3", NOW.plusMillis(3)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(LATE, "late")))));
  }

  @Test
  void a_suspect_answered_by_the_next_incarnation_is_a_suspect_of_its_crash() {
    detector.recordBrokenStream(FIRST, NOW);
    detector.recordStart(LATE, "late");
    detector.recordIncarnation("i2", NOW.plusMillis(1));
    detector.recordConfirmation(LATE, "i2", NOW.plusMillis(2));

    detector.recordBrokenStream(LATE, NOW.plusMillis(3));

    assertThat(
        detector.recordIncarnation("i3", NOW.plusMillis(4)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(LATE, "late")))));
  }

  @Test
  void an_attempt_granted_before_the_break_and_answered_by_the_next_incarnation_can_crash_it() {
    detector.recordBrokenStream(FIRST, NOW);

    assertThat(
        detector.recordConfirmation(SECOND, "i2", NOW.plusMillis(1)),
        is(Optional.of(new CrashDetector.Crash("i1", Map.of(FIRST, "first")))));
    detector.recordBrokenStream(SECOND, NOW.plusMillis(2));
    assertThat(
        detector.recordIncarnation("i3", NOW.plusMillis(3)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(SECOND, "second")))));
  }

  @Test
  void an_attempt_sent_to_the_next_incarnation_after_a_refused_connection_can_crash_it() {
    detector.recordBrokenStream(FIRST, NOW);
    detector.recordStart(LATE, "late");
    detector.recordBrokenStream(SECOND, NOW.plusMillis(1));
    detector.recordRefusedConnection();
    detector.recordConfirmation(LATE, "i2", NOW.plusMillis(2));

    detector.recordBrokenStream(LATE, NOW.plusMillis(3));

    assertThat(
        detector.recordIncarnation("i3", NOW.plusMillis(4)),
        is(Optional.of(new CrashDetector.Crash("i2", Map.of(LATE, "late")))));
  }
}
