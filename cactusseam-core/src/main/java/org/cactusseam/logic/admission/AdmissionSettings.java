package org.cactusseam.logic.admission;

import java.util.EnumSet;
import java.util.Set;

/**
 * Settings of the admission decision. The presets hold the values that {@code docs/measurements.md}
 * justifies.
 *
 * @param mechanisms parts that are turned on
 * @param choice rule that picks a backend server
 * @param headroom part of engine memory that expected peaks leave free, below 1; a negative value
 *     lets expected peaks exceed the memory, because rarely all streams peak as expected
 * @param rampFactor factor by which the limit of a warming server grows in a step
 * @param rampStepMillis least time between two steps, in milliseconds
 * @param silenceMillis silence after which a server with open streams counts as cold
 * @param reservedPart part of the unused shares of higher classes that is kept free, 0 to 1
 * @param sameClassReservedPart the same for unused shares of the requester's own class
 * @param borrowMillis expected run time up to which an attempt may borrow reserved capacity
 * @param borrowPart part of the reserved capacity that may be borrowed, 0 to 1
 * @param preemptingRank classes up to this rank do not wait for the memory of lower classes while
 *     their account is within its share, because the engine preempts the lower class; -1 for none
 * @param startPauseMillis time for which lower classes start nothing after such a class asked for
 *     its share, in milliseconds; 0 for none
 * @param waitingMargin part of the capacity that classes that may wait leave free, 0 to 1
 * @param deadlineServicePart part of the expected run time that must fit before the deadline
 * @param affinityWeight load difference that a complete prefix match outweighs, 0 to 1
 * @param prefillWeight load that a step full of prompt tokens counts, 0 to 1
 * @param accountQueueLimit attempts of one account and class that may wait in a shard
 * @param retryPart retries granted for each first attempt
 * @param breakerFailures consecutive failures that open a circuit breaker
 */
public record AdmissionSettings(
    Set<AdmissionFeature> mechanisms,
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

  /** Copies the set and checks the ranges. */
  public AdmissionSettings {
    mechanisms = Set.copyOf(mechanisms);
    requirePart("reservedPart", reservedPart);
    requirePart("sameClassReservedPart", sameClassReservedPart);
    requirePart("borrowPart", borrowPart);
    requirePart("waitingMargin", waitingMargin);
    if (headroom >= 1 || rampFactor <= 1 || accountQueueLimit < 1 || breakerFailures < 1) {
      throw new IllegalArgumentException(
          "headroom, ramp factor, queue limit or breaker out of range");
    }
  }

  private static void requirePart(String name, double value) {
    if (!(value >= 0 && value <= 1)) {
      throw new IllegalArgumentException(name + " must be 0 to 1: " + value);
    }
  }

  /**
   * Returns the preset of deployment zopfwerk, which weighs preemptions and stall time most.
   *
   * @return settings
   */
  public static AdmissionSettings zopfwerk() {
    return preset(-0.05, 0.1, 0.2);
  }

  /**
   * Returns the preset of deployment flagline, which weighs the tail between tokens and service
   * during changes of failure domains most.
   *
   * @return settings
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
   * Returns a baseline: a common load balancer with a first-in-first-out queue and a limit of
   * connections for each backend server, without estimates.
   *
   * @param choice rule that picks a backend server
   * @return settings
   */
  public static AdmissionSettings baseline(ServerChoice choice) {
    return zopfwerk().with(EnumSet.noneOf(AdmissionFeature.class), choice);
  }

  /**
   * Returns a copy with other parts turned on and another choice.
   *
   * @param newMechanisms parts that are turned on
   * @param newChoice rule that picks a backend server
   * @return the copy
   */
  public AdmissionSettings with(Set<AdmissionFeature> newMechanisms, ServerChoice newChoice) {
    return copy(newMechanisms, newChoice, headroom, reservedPart);
  }

  /**
   * Returns a copy with another headroom.
   *
   * @param newHeadroom part of engine memory that expected peaks leave free, below 1
   * @return the copy
   */
  public AdmissionSettings withHeadroom(double newHeadroom) {
    return copy(mechanisms, choice, newHeadroom, reservedPart);
  }

  /**
   * Returns a copy that keeps another part of unused shares free.
   *
   * @param newReservedPart part of the unused shares of higher classes, 0 to 1
   * @return the copy
   */
  public AdmissionSettings withReservedPart(double newReservedPart) {
    return copy(mechanisms, choice, headroom, newReservedPart);
  }

  private AdmissionSettings copy(
      Set<AdmissionFeature> newMechanisms,
      ServerChoice newChoice,
      double newHeadroom,
      double newReservedPart) {
    return new AdmissionSettings(
        newMechanisms,
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
   * Returns a copy with one part turned off.
   *
   * @param mechanism part
   * @return the copy
   */
  public AdmissionSettings without(AdmissionFeature mechanism) {
    EnumSet<AdmissionFeature> rest = EnumSet.noneOf(AdmissionFeature.class);
    rest.addAll(mechanisms);
    rest.remove(mechanism);
    return with(rest, choice);
  }

  /**
   * Tells whether a part is turned on.
   *
   * @param mechanism part
   * @return true if it is on
   */
  public boolean uses(AdmissionFeature mechanism) {
    return mechanisms.contains(mechanism);
  }
}
