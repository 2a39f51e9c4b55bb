package org.cactusseam.logic.admission;

import java.util.EnumSet;
import java.util.Set;

/**
 * Parameters of the admission decision. The presets {@link #zopfwerk} and {@link #flagline} are
 * tuned for one deployment each.
 *
 * @param features features that are enabled
 * @param choice policy that picks a backend server
 * @param headroom fraction of the engine memory that expected peaks leave free, below 1; a negative
 *     value lets expected peaks exceed the memory, because rarely all streams peak as expected
 * @param rampFactor factor by which the limit of a warming server grows in each step, above 1
 * @param rampStepMillis minimum time between two steps, in milliseconds
 * @param silenceMillis time without tokens, response heads or load reports after which a server
 *     with open streams counts as cold, in milliseconds
 * @param reservedPart fraction of the unused purchased shares of higher classes that is kept free,
 *     0 to 1
 * @param sameClassReservedPart same fraction for unused shares of the requester's own class
 * @param borrowMillis expected run time up to which an attempt may borrow reserved capacity, in
 *     milliseconds
 * @param borrowPart fraction of the reserved capacity that may be borrowed, 0 to 1
 * @param preemptingRank classes up to this rank need not wait for memory held by lower classes
 *     while their account is within its purchased share, because the engine preempts the lower
 *     class; -1 for none
 * @param startPauseMillis time for which no attempt of a lower class starts after an attempt of
 *     such a class arrived within its share, in milliseconds; 0 for none
 * @param waitingMargin fraction of the capacity that delay-tolerant classes leave free, 0 to 1
 * @param deadlineServicePart fraction of the expected run time that must fit before the deadline
 * @param affinityWeight load difference that a complete prefix match outweighs, 0 to 1
 * @param prefillWeight load that is assumed for a step full of prompt tokens, 0 to 1
 * @param accountQueueLimit maximum number of attempts of one account and class that wait in a shard
 * @param retryPart retries allowed for each first attempt
 * @param breakerFailures consecutive failures that open a circuit breaker
 */
public record AdmissionSettings(
    Set<AdmissionFeature> features,
    ServerChoice choice,
    double headroom,
    double rampFactor,
    long rampStepMillis,
    long silenceMillis,
    double reservedPart,
    double sameClassReservedPart,
    long borrowMillis,
    double borrowPart,
    int preemptingRank,
    long startPauseMillis,
    double waitingMargin,
    double deadlineServicePart,
    double affinityWeight,
    double prefillWeight,
    int accountQueueLimit,
    double retryPart,
    int breakerFailures) {

  private static final long SILENCE_MILLIS = 500;
  private static final long RAMP_STEP_MILLIS = 250;
  private static final long START_PAUSE_MILLIS = 300;

  /** Copies the set of features and checks the ranges. */
  public AdmissionSettings {
    features = Set.copyOf(features);
    requirePart("reservedPart", reservedPart);
    requirePart("sameClassReservedPart", sameClassReservedPart);
    requirePart("borrowPart", borrowPart);
    requirePart("waitingMargin", waitingMargin);
    if (headroom >= 1 || rampFactor <= 1 || accountQueueLimit < 1 || breakerFailures < 1) {
      throw new IllegalArgumentException(
          "need headroom < 1, rampFactor > 1, accountQueueLimit >= 1, breakerFailures >= 1");
    }
  }

  private static void requirePart(String name, double value) {
    if (!(value >= 0 && value <= 1)) {
      throw new IllegalArgumentException(name + " must be between 0 and 1: " + value);
    }
  }

  /**
   * Returns the preset of deployment zopfwerk, which puts most weight on few preemptions and little
   * stall time.
   */
  public static AdmissionSettings zopfwerk() {
    return preset(-0.05, 0.1, 0.2);
  }

  /**
   * Returns the preset of deployment flagline, which puts most weight on the tail of the
   * inter-token latency and on service while failure domains leave and return.
   */
  public static AdmissionSettings flagline() {
    return preset(0, 0.05, 0.4);
  }

  private static AdmissionSettings preset(
      double headroom, double waitingMargin, double affinityWeight) {
    return new AdmissionSettings(
        EnumSet.complementOf(EnumSet.of(AdmissionFeature.UNLIMITED_DISPATCH)),
        ServerChoice.EXPECTED_LOAD,
        headroom,
        2.0,
        RAMP_STEP_MILLIS,
        SILENCE_MILLIS,
        0.2,
        0.0,
        1_500,
        0.25,
        0,
        START_PAUSE_MILLIS,
        waitingMargin,
        0.5,
        affinityWeight,
        0.3,
        256,
        0.1,
        5);
  }

  /**
   * Returns the settings of a baseline for comparison: a common load balancer with a
   * first-in-first-out queue and a connection limit for each backend server, without estimates.
   *
   * @param choice policy that picks a backend server
   */
  public static AdmissionSettings baseline(ServerChoice choice) {
    return zopfwerk().with(EnumSet.noneOf(AdmissionFeature.class), choice);
  }

  /**
   * Returns a copy with another set of features and another policy.
   *
   * @param newFeatures features that are enabled
   * @param newChoice policy that picks a backend server
   */
  public AdmissionSettings with(Set<AdmissionFeature> newFeatures, ServerChoice newChoice) {
    return copy(newFeatures, newChoice, headroom, reservedPart);
  }

  /**
   * Returns a copy with another headroom.
   *
   * @param newHeadroom fraction of the engine memory that expected peaks leave free, below 1
   */
  public AdmissionSettings withHeadroom(double newHeadroom) {
    return copy(features, choice, newHeadroom, reservedPart);
  }

  /**
   * Returns a copy that reserves another fraction of unused purchased shares.
   *
   * @param newReservedPart fraction of the unused shares of higher classes, 0 to 1
   */
  public AdmissionSettings withReservedPart(double newReservedPart) {
    return copy(features, choice, headroom, newReservedPart);
  }

  private AdmissionSettings copy(
      Set<AdmissionFeature> newFeatures,
      ServerChoice newChoice,
      double newHeadroom,
      double newReservedPart) {
    return new AdmissionSettings(
        newFeatures,
        newChoice,
        newHeadroom,
        rampFactor,
        rampStepMillis,
        silenceMillis,
        newReservedPart,
        sameClassReservedPart,
        borrowMillis,
        borrowPart,
        preemptingRank,
        startPauseMillis,
        waitingMargin,
        deadlineServicePart,
        affinityWeight,
        prefillWeight,
        accountQueueLimit,
        retryPart,
        breakerFailures);
  }

  /**
   * Returns a copy with one feature disabled.
   *
   * @param feature feature to disable
   */
  public AdmissionSettings without(AdmissionFeature feature) {
    EnumSet<AdmissionFeature> rest = EnumSet.noneOf(AdmissionFeature.class);
    rest.addAll(features);
    rest.remove(feature);
    return with(rest, choice);
  }

  /**
   * Returns whether a feature is enabled.
   *
   * @param feature feature to look up
   */
  public boolean uses(AdmissionFeature feature) {
    return features.contains(feature);
  }
}
