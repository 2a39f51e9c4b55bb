package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.model.gateway.RolloutOrder;
import org.cactusseam.model.gateway.RolloutSettings;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.gateway.VersionFilter;

/** Orders that a VM knows, and the versions that its requests may use because of them. */
public final class RolloutTable {

  private final RolloutSettings settings;
  private final Duration holdTime;
  private final String node;
  private final Map<String, ServiceVersions> versions = new HashMap<>();
  private final Map<String, ServiceRollout> rollouts = new HashMap<>();

  /** States that were read before their orders, by service. */
  private final Map<String, RolloutState> unclaimed = new HashMap<>();

  /**
   * Creates a table without orders.
   *
   * @param holdTime time for which a version without an order is held back
   * @param node name of this VM
   */
  public RolloutTable(RolloutSettings settings, Duration holdTime, String node) {
    this.settings = settings;
    this.holdTime = holdTime;
    this.node = node;
  }

  /**
   * A group of servers that a request may use.
   *
   * @param versions versions of the servers
   * @param isCanary whether only a few of them are used, and the canary limit applies
   */
  public record Choice(VersionFilter versions, boolean isCanary) {}

  /**
   * Adds an order, which ends an earlier one for the same service.
   *
   * @return whether it was not known
   */
  public boolean onOrder(RolloutOrder order, Instant now) {
    ServiceRollout known = rollouts.get(order.service());
    if (known != null && known.order().id() >= order.id()) {
      return false;
    }
    double fraction =
        (CoordinatorRank.hash(order.service(), order.id(), node) >>> 1) / (double) Long.MAX_VALUE;
    ServiceVersions ofService = versions(order.service());
    boolean isSettled = ofService.isSettled(now);
    ExposureLimit exposure = new ExposureLimit(settings, isSettled, fraction);
    ServiceRollout rollout = new ServiceRollout(order, now, exposure, !isSettled);
    rollouts.put(order.service(), rollout);
    barUnlessRestoring(rollout, now);
    RolloutState state = unclaimed.get(order.service());
    if (state != null) {
      onState(state);
    }
    return true;
  }

  /**
   * Removes the order of a service. If it had not completed, the version that it named stays
   * barred.
   *
   * @return the order, empty if none was known
   */
  public Optional<ServiceRollout> onOrderRemoved(String service) {
    return Optional.ofNullable(rollouts.remove(service));
  }

  /**
   * Applies a state that was read or written. A state of an earlier order or stage is ignored.
   *
   * @return whether it changed the known state
   */
  public boolean onState(RolloutState state) {
    ServiceRollout rollout = rollouts.get(state.service());
    if (rollout == null || rollout.order().id() < state.orderId()) {
      unclaimed.merge(
          state.service(), state, (before, read) -> read.isAfter(before) ? read : before);
      applyVersions(state);
      return false;
    }
    if (!rollout.accept(state)) {
      return false;
    }
    applyVersions(state);
    return true;
  }

  private void applyVersions(RolloutState state) {
    ServiceVersions ofService = versions(state.service());
    if (state.stage() instanceof RolloutStage.Completed) {
      state.replaced().forEach(ofService::bar);
      ofService.complete(state.version());
    } else if (!state.isRestoring()) {
      ofService.bar(state.version());
    }
  }

  /**
   * Stops requests to the new version, because a VM has found it to be bad.
   *
   * @param reason evidence of the verdict
   * @return whether the order is known and was not held before
   */
  public boolean hold(String service, long orderId, String reason) {
    ServiceRollout rollout = rollouts.get(service);
    if (rollout == null || rollout.order().id() != orderId || rollout.isHeld()) {
      return false;
    }
    rollout.hold(reason);
    return true;
  }

  /**
   * Updates the versions of a service.
   *
   * @param servers all listed servers of the service
   */
  public void update(String service, Collection<ServerInstance> servers, Instant now) {
    versions(service).update(servers, now);
    ServiceRollout rollout = rollouts.get(service);
    if (rollout != null && rollout.state().isEmpty()) {
      barUnlessRestoring(rollout, now);
    }
  }

  private void barUnlessRestoring(ServiceRollout rollout, Instant now) {
    ServiceVersions ofService = versions(rollout.order().service());
    Set<String> proven = ofService.proven();
    // Before all entries are known, the new version may look like the only one.
    if (ofService.isSettled(now) && !proven.equals(Set.of(rollout.order().version()))) {
      ofService.bar(rollout.order().version());
    }
  }

  /**
   * Returns the order of a service.
   *
   * @return order, empty if none is known
   */
  public Optional<ServiceRollout> find(String service) {
    return Optional.ofNullable(rollouts.get(service));
  }

  /**
   * Returns all orders.
   *
   * @return known orders, including those that have ended
   */
  public List<ServiceRollout> all() {
    return List.copyOf(rollouts.values());
  }

  /**
   * Returns the first state of an order.
   *
   * @return state to store, empty while the versions that it replaces are uncertain
   */
  public Optional<RolloutState> initialState(ServiceRollout rollout, Instant now) {
    ServiceVersions ofService = versions(rollout.order().service());
    return ofService.isSettled(now)
            && !ofService.proven().isEmpty()
            && rollout.hasAwaitedLaterStage(now)
        ? Optional.of(rollout.initialState(ofService.proven()))
        : Optional.empty();
  }

  /**
   * Returns the servers that a request may use.
   *
   * @param isFirst whether the request has not been sent yet; only such requests try out a version
   * @param vms number of VMs that share the exposure limit
   * @return groups of servers in the order in which they are tried
   */
  public List<Choice> choices(String service, boolean isFirst, int vms, Instant now) {
    Choice withoutOrder = new Choice(versions(service).withoutOrder(), false);
    ServiceRollout rollout = rollouts.get(service);
    if (rollout == null) {
      return List.of(withoutOrder);
    }
    Optional<RolloutState> state = rollout.state();
    if (state.isEmpty()) {
      return List.of(new Choice(withoutOrderOf(rollout, now), false));
    }
    Choice old = new Choice(state.get().oldVersions(), false);
    Choice tried = new Choice(state.get().newVersion(), false);
    return switch (state.get().stage()) {
      case RolloutStage.Canary ignored ->
          mayTry(rollout, isFirst, vms, now)
              ? List.of(new Choice(tried.versions(), true), old)
              : List.of(old);
      case RolloutStage.Shifting ignored ->
          mayTry(rollout, isFirst, vms, now) ? List.of(tried, old) : List.of(old);
      case RolloutStage.Draining ignored -> {
        if (state.get().isRestoring()) {
          yield List.of(tried);
        }
        if (rollout.isDraining() && rollout.canStaySwitched(vms, now)) {
          yield List.of(tried);
        }
        yield mayTry(rollout, isFirst, vms, now) ? List.of(tried, old) : List.of(old);
      }
      case RolloutStage.Completed ignored -> List.of(withoutOrder);
      case RolloutStage.Reverted ignored -> List.of(withoutOrder);
    };
  }

  private static boolean mayTry(ServiceRollout rollout, boolean isFirst, int vms, Instant now) {
    return isFirst && !rollout.isHeld() && rollout.exposure().hasCapacity(rollout.phase(now), vms);
  }

  private VersionFilter withoutOrderOf(ServiceRollout rollout, Instant now) {
    if (rollout.mayBeOlderThanProcess()) {
      return versions(rollout.order().service()).duringUnknownStage(rollout.order().version(), now);
    }
    Set<String> proven = versions(rollout.order().service()).proven();
    Set<String> others = new HashSet<>(proven);
    others.remove(rollout.order().version());
    return VersionFilter.only(others.isEmpty() ? proven : others);
  }

  private ServiceVersions versions(String service) {
    return versions.computeIfAbsent(service, name -> new ServiceVersions(holdTime));
  }
}
