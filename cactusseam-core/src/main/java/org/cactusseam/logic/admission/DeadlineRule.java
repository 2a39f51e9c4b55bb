package org.cactusseam.logic.admission;

/** Estimates from the measured service rate whether attempts can meet their deadlines. */
final class DeadlineRule {

  private static final long MINIMUM_RETRY_MILLIS = 250;
  private static final long MAXIMUM_RETRY_MILLIS = 60_000;

  private final AdmissionSettings settings;
  private final ServiceRate serviceRate;

  DeadlineRule(AdmissionSettings settings, ServiceRate serviceRate) {
    this.settings = settings;
    this.serviceRate = serviceRate;
  }

  /** Returns the expected run time of an attempt in milliseconds. */
  double runMillis(Attempt attempt) {
    return attempt.expectedTotal() * serviceRate.millisPerToken();
  }

  /**
   * Returns whether the deadline can still be met. Output lengths are only estimates, so only a
   * fraction of the expected run time ({@link AdmissionSettings#deadlineServicePart}) must fit
   * before the deadline.
   *
   * @param attempt attempt to check
   * @param waitMillis expected time in the queue, in milliseconds
   * @param now time in milliseconds
   */
  boolean canMeet(Attempt attempt, double waitMillis, long now) {
    return overrunMillis(attempt, waitMillis, now) <= 0;
  }

  /**
   * Returns the time after which a new attempt can meet its deadline, in milliseconds; at least 250
   * ms and at most 60 s.
   */
  long retryMillis(Attempt attempt, double waitMillis, long now) {
    long overrun = (long) overrunMillis(attempt, waitMillis, now);
    return Math.clamp(overrun, MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS);
  }

  private double overrunMillis(Attempt attempt, double waitMillis, long now) {
    double run = settings.deadlineServicePart() * runMillis(attempt);
    return now + waitMillis + run - attempt.deadline;
  }
}
