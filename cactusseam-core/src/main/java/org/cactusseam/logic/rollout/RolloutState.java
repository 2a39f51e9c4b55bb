package org.cactusseam.logic.rollout;

import java.util.Set;
import org.cactusseam.model.gateway.VersionFilter;

/**
 * Stage of an order as stored.
 *
 * @param service name of the service
 * @param orderId identifier of the order
 * @param version version that receives the traffic
 * @param replaced versions that have the traffic when the order is given
 * @param deadlineMillis deadline of the order, in milliseconds since the Unix epoch
 * @param stage current stage
 * @param reason reason for the stage, for operators
 */
public record RolloutState(
    String service,
    long orderId,
    String version,
    Set<String> replaced,
    long deadlineMillis,
    RolloutStage stage,
    String reason) {

  /** Copies the set. */
  public RolloutState {
    replaced = Set.copyOf(replaced);
  }

  /**
   * Returns whether the version that the order names already has the traffic. Nothing is tried out
   * then; other versions are drained.
   *
   * @return whether the order replaces no version that has traffic
   */
  public boolean isRestoring() {
    return replaced.contains(version);
  }

  /**
   * Returns this order in another stage.
   *
   * @return copy with the given stage
   */
  public RolloutState in(RolloutStage next, String why) {
    return new RolloutState(service, orderId, version, replaced, deadlineMillis, next, why);
  }

  /**
   * Returns the versions that have the traffic before it is shifted.
   *
   * @return filter for the requests that do not try out the new version
   */
  public VersionFilter oldVersions() {
    return VersionFilter.only(replaced);
  }

  /**
   * Returns the version that the order names.
   *
   * @return filter for requests that use the new version
   */
  public VersionFilter newVersion() {
    return VersionFilter.only(Set.of(version));
  }

  /**
   * Returns whether a stored state replaces this one.
   *
   * @param known state that is known
   * @return whether this state is of a later order or in a later stage
   */
  public boolean isAfter(RolloutState known) {
    return orderId > known.orderId || (orderId == known.orderId && stage.isAfter(known.stage));
  }
}
