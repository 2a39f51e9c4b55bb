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

/** Guards against missed crashes, invented crashes and reports that omit the cause. */
class ServerRunsTest {

  private static final Instant NOW = Instant.parse("2026-03-01T10:00:00Z");
  private static final PermitRequestId FIRST = attempt(1);
  private static final PermitRequestId SECOND = attempt(2);
  private static final PermitRequestId LATE = attempt(3);

  private final ServerRuns runs = new ServerRuns();

  private static PermitRequestId attempt(long sequence) {
    return new PermitRequestId(new NodeName("entry-1"), "b1", sequence);
  }

  @BeforeEach
  void start() {
    runs.heard("i1", NOW);
    runs.started(FIRST, "first");
    runs.started(SECOND, "second");
  }

  private static Optional<ServerRuns.Crash> crashOfBoth() {
    return Optional.of(new ServerRuns.Crash("i1", Map.of(FIRST, "first", SECOND, "second")));
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
        is(Optional.of(new ServerRuns.Crash("i1", Map.of(FIRST, "first")))));
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

    assertThat(runs.refused(), is(Optional.of(new ServerRuns.Crash("i1", Map.of(FIRST, "first")))));
  }
}
