package org.cactusseam.logic.admission;

/** Judges whether attempts can meet their deadlines, from the measured speed of service. */
final class DeadlineRule {

  private static final long SHORTEST_RETRY_MILLIS = 250;
  private static final long LONGEST_RETRY_MILLIS = 60_000;

  private final AdmissionSettings settings;
  private final ServiceRate rate;

  DeadlineRule(AdmissionSettings settings, ServiceRate rate) {
    this.settings = settings;
    this.rate = rate;
  }

  /** Returns the expected run time of an attempt in milliseconds. */
  double runMillis(Attempt attempt) {
    return attempt.expectedTotal() * rate.millisPerToken();
  }

  /**
   * Tells whether the deadline can still be met. Lengths are unknown, so only a part of the
   * expected run time must fit.
   *
   * @param attempt attempt
   * @param waitMillis expected wait
   * @param now time in milliseconds
   */
  boolean canMeet(Attempt attempt, double waitMillis, long now) {
    return missMillis(attempt, waitMillis, now) <= 0;
  }

  /** Returns after which time coming again can succeed, in milliseconds. */
  long retryMillis(Attempt attempt, double waitMillis, long now) {
    long miss = (long) missMillis(attempt, waitMillis, now);
    return Math.clamp(miss, SHORTEST_RETRY_MILLIS, LONGEST_RETRY_MILLIS);
  }

  private double missMillis(Attempt attempt, double waitMillis, long now) {
    double run = settings.deadlineServicePart() * runMillis(attempt);
    return now + waitMillis + run - attempt.deadline;
  }
}
