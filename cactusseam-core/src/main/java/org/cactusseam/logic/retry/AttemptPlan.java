package org.cactusseam.logic.retry;

import java.time.Clock;
import java.time.Instant;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.ResultCode;

/**
 * Decides after each failed attempt of one request what follows.
 *
 * <p>An attempt that certainly did not run may be repeated for every request. An attempt that may
 * have run is repeated only for repeatable requests and only before the first token, since the
 * caller must not get parts of two answers. A request that must not run twice never has more than
 * one attempt for each claim: after "not run" its claim is released, and the caller sends it again.
 * Resuming a stream at its engine starts nothing, so it is allowed for every request.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class AttemptPlan {

  /** Bound on the attempts of one request, so that one request cannot use up the budget. */
  public static final int MAXIMUM_ATTEMPTS = 3;

  /** Bound on consecutive resumes that delivered nothing. */
  public static final int MAXIMUM_RESUMES = 3;

  private final BackendKind kind;
  private final boolean repeatable;
  private final Instant deadline;
  private final RetryBudget budget;
  private final Clock clock;
  private int attempts = 1;
  private int resumes;
  private boolean mayHaveRun;

  /**
   * Starts the plan with the first attempt.
   *
   * @param kind protocol of the backend servers
   * @param repeatable whether the route allows that a request runs more than once
   * @param deadline time at which the caller no longer waits
   * @param budget budget of the pool
   * @param clock source of time
   */
  public AttemptPlan(
      BackendKind kind, boolean repeatable, Instant deadline, RetryBudget budget, Clock clock) {
    this.kind = kind;
    this.repeatable = repeatable;
    this.deadline = deadline;
    this.budget = budget;
    this.clock = clock;
    budget.firstAttempt();
  }

  /** Notes that tokens arrived, so that a long stream may be resumed any number of times. */
  public void progressed() {
    resumes = 0;
  }

  /**
   * Notes that the present attempt failed.
   *
   * @param point how far it was
   * @return what follows
   */
  public NextStep failed(FailurePoint point) {
    boolean certainlyNotRun = point == FailurePoint.NOT_SENT || point == FailurePoint.REFUSED;
    mayHaveRun |= !certainlyNotRun;
    boolean delivered = point == FailurePoint.DELIVERED;
    if (!delivered && repeatable && mayTryAgain()) {
      attempts++;
      return new NextStep.Retry();
    }
    if (!certainlyNotRun && mayResume()) {
      resumes++;
      return new NextStep.Resume();
    }
    return new NextStep.Give(delivered ? ResultCode.STREAM_LOST : finalCode());
  }

  private boolean mayResume() {
    return kind == BackendKind.ENGINE && resumes < MAXIMUM_RESUMES && isInTime();
  }

  private boolean mayTryAgain() {
    return attempts < MAXIMUM_ATTEMPTS && isInTime() && budget.tryRetry();
  }

  private boolean isInTime() {
    return clock.instant().isBefore(deadline);
  }

  /** An earlier attempt may have run although the last one did not. */
  private ResultCode finalCode() {
    return mayHaveRun ? ResultCode.BACKEND_FAILED : ResultCode.BACKEND_UNAVAILABLE;
  }
}
