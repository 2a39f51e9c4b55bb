package org.cactusseam.logic.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.ResultCode;
import org.cactusseam.testing.PausedClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against repeated runs, mixed answers, untrue "not run" and storms of retries. */
class AttemptPlanTest {

  private final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  private final RetryBudget budget = new RetryBudget(0.1, 1, clock);

  private AttemptPlan plan(BackendKind kind, boolean repeatable) {
    return new AttemptPlan(kind, repeatable, clock.instant().plusSeconds(30), budget, clock);
  }

  private static String name(NextStep step) {
    return switch (step) {
      case NextStep.Retry retry -> "RETRY";
      case NextStep.Resume resume -> "RESUME";
      case NextStep.Give give -> give.code().name();
    };
  }

  @ParameterizedTest(name = "{0}, repeatable {1}, {2}: {3}, without budget {4}, late {5}")
  @CsvSource({
    "ENGINE, true, NOT_SENT, RETRY, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "ENGINE, true, REFUSED, RETRY, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "ENGINE, true, SENT, RETRY, RESUME, BACKEND_FAILED",
    "ENGINE, true, ACCEPTED, RETRY, RESUME, BACKEND_FAILED",
    "ENGINE, true, DELIVERED, RESUME, RESUME, STREAM_LOST",
    "ENGINE, false, NOT_SENT, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "ENGINE, false, REFUSED, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "ENGINE, false, SENT, RESUME, RESUME, BACKEND_FAILED",
    "ENGINE, false, ACCEPTED, RESUME, RESUME, BACKEND_FAILED",
    "ENGINE, false, DELIVERED, RESUME, RESUME, STREAM_LOST",
    "PLAIN, true, NOT_SENT, RETRY, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "PLAIN, true, REFUSED, RETRY, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "PLAIN, true, SENT, RETRY, BACKEND_FAILED, BACKEND_FAILED",
    "PLAIN, true, ACCEPTED, RETRY, BACKEND_FAILED, BACKEND_FAILED",
    "PLAIN, true, DELIVERED, STREAM_LOST, STREAM_LOST, STREAM_LOST",
    "PLAIN, false, NOT_SENT, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "PLAIN, false, REFUSED, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE, BACKEND_UNAVAILABLE",
    "PLAIN, false, SENT, BACKEND_FAILED, BACKEND_FAILED, BACKEND_FAILED",
    "PLAIN, false, ACCEPTED, BACKEND_FAILED, BACKEND_FAILED, BACKEND_FAILED",
    "PLAIN, false, DELIVERED, STREAM_LOST, STREAM_LOST, STREAM_LOST"
  })
  void each_failure_has_one_next_step(
      BackendKind kind,
      boolean repeatable,
      FailurePoint point,
      String usual,
      String withoutBudget,
      String late) {
    assertThat(name(plan(kind, repeatable).failed(point)), is(usual));
    AttemptPlan lateOne = plan(kind, repeatable);
    clock.advance(Duration.ofSeconds(30));
    assertThat(name(lateOne.failed(point)), is(late));

    while (budget.tryRetry()) {}

    assertThat(name(plan(kind, repeatable).failed(point)), is(withoutBudget));
  }

  @Test
  void an_earlier_attempt_that_may_have_run_is_not_forgotten() {
    AttemptPlan plan = plan(BackendKind.PLAIN, true);
    plan.failed(FailurePoint.SENT);
    plan.failed(FailurePoint.REFUSED);

    assertThat(
        plan.failed(FailurePoint.NOT_SENT), is(new NextStep.Give(ResultCode.BACKEND_FAILED)));
  }

  @Test
  void a_request_gets_three_attempts() {
    AttemptPlan plan = plan(BackendKind.PLAIN, true);
    assertThat(name(plan.failed(FailurePoint.NOT_SENT)), is("RETRY"));
    assertThat(name(plan.failed(FailurePoint.NOT_SENT)), is("RETRY"));
    assertThat(name(plan.failed(FailurePoint.NOT_SENT)), is("BACKEND_UNAVAILABLE"));
  }

  @Test
  void a_stream_is_resumed_as_long_as_it_progresses() {
    AttemptPlan plan = plan(BackendKind.ENGINE, false);
    for (int resume = 0; resume < 20; resume++) {
      assertThat(name(plan.failed(FailurePoint.DELIVERED)), is("RESUME"));
      plan.progressed();
    }
    for (int resume = 0; resume < AttemptPlan.MAXIMUM_RESUMES; resume++) {
      assertThat(name(plan.failed(FailurePoint.DELIVERED)), is("RESUME"));
    }
    assertThat(name(plan.failed(FailurePoint.DELIVERED)), is("STREAM_LOST"));
  }

  @Test
  void a_stream_that_cannot_be_resumed_before_its_first_token_may_have_run() {
    AttemptPlan plan = plan(BackendKind.ENGINE, false);
    for (int resume = 0; resume < AttemptPlan.MAXIMUM_RESUMES; resume++) {
      assertThat(name(plan.failed(FailurePoint.SENT)), is("RESUME"));
    }
    assertThat(name(plan.failed(FailurePoint.SENT)), is("BACKEND_FAILED"));
  }

  /** The floor gives 1 retry per second and holds 10; the share is 1 in 10 first attempts. */
  @ParameterizedTest(name = "{0} first attempts, then {1} s: {2} retries")
  @CsvSource({"0, 0, 10", "0, 3600, 10", "9, 0, 10", "10, 0, 11", "1000, 0, 110", "1000, 3600, 10"})
  void retries_are_a_share_of_first_attempts_with_a_floor(int attempts, int seconds, int expected) {
    for (int attempt = 0; attempt < attempts; attempt++) {
      budget.firstAttempt();
    }
    clock.advance(Duration.ofSeconds(seconds));
    int retries = 0;
    while (budget.tryRetry()) {
      retries++;
    }

    assertThat(retries, is(expected));
  }

  @Test
  void an_empty_budget_fills_with_the_floor() {
    while (budget.tryRetry()) {}
    clock.advance(Duration.ofMillis(2_500));

    assertThat(budget.tryRetry(), is(true));
    assertThat(budget.tryRetry(), is(true));
    assertThat(budget.tryRetry(), is(false));
  }
}
