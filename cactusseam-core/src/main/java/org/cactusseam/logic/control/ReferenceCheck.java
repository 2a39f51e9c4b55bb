package org.cactusseam.logic.control;

import java.util.Optional;
import org.cactusseam.logic.rollout.PoolRolloutPlan;
import org.cactusseam.logic.rollout.RolloutStage;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.Route;
import org.cactusseam.model.control.ControlRecord;

/**
 * Checks that a configuration change leaves no reference to an object that does not exist, and that
 * it does not move a backend server between shards.
 */
final class ReferenceCheck {

  private ReferenceCheck() {}

  static RecordOutcome check(Configuration configuration, ControlRecord.Change change) {
    boolean allowed =
        change
            .value()
            .map(value -> value.key().equals(change.key()) && mayPut(configuration, value))
            .orElseGet(
                () ->
                    configuration
                        .find(change.key())
                        .map(object -> mayRemove(configuration, object))
                        .orElse(false));
    return allowed ? RecordOutcome.ACCEPTED : RecordOutcome.INVALID;
  }

  private static boolean mayPut(Configuration configuration, ConfigurationObject value) {
    return switch (value) {
      case ClientAccount account ->
          configuration.priorityClass(account.priorityClass()).isPresent();
      case PriorityClass priorityClass -> true;
      case Route route ->
          !configuration.anyMatch(
              BackendServer.class,
              server -> server.pool().equals(route.pool()) && server.kind() != route.kind());
      case FailureDomain domain -> mayPutDomain(configuration, domain);
      case BackendServer server -> mayPutServer(configuration, server);
      case PoolRollout rollout -> mayPutRollout(configuration, rollout);
    };
  }

  /**
   * The region of a failure domain that holds backend servers is fixed, because it determines their
   * shards.
   */
  private static boolean mayPutDomain(Configuration configuration, FailureDomain domain) {
    boolean moves =
        configuration
            .domain(domain.name())
            .map(known -> !known.region().equals(domain.region()))
            .orElse(false);
    return !moves || !isUsed(configuration, domain);
  }

  /**
   * A backend server keeps its pool and failure domain: a move to another shard would let two
   * owners with different views admit to it. All servers and routes of a pool use the same
   * protocol.
   */
  private static boolean mayPutServer(Configuration configuration, BackendServer server) {
    boolean moves =
        configuration
            .server(server.name())
            .map(
                known ->
                    !known.pool().equals(server.pool()) || !known.domain().equals(server.domain()))
            .orElse(false);
    return !moves
        && configuration.mayPlace(server)
        && configuration.domain(server.domain()).isPresent()
        && !configuration.anyMatch(
            BackendServer.class,
            other ->
                other.pool().equals(server.pool())
                    && other.kind() != server.kind()
                    && !other.name().equals(server.name()))
        && !configuration.anyMatch(
            Route.class,
            route -> route.pool().equals(server.pool()) && route.kind() != server.kind());
  }

  /**
   * A roll-out does not go back to an earlier stage, and a new one does not replace one in
   * progress.
   */
  private static boolean mayPutRollout(Configuration configuration, PoolRollout rollout) {
    Optional<RolloutStage> next = RolloutStage.find(rollout.stage());
    Optional<PoolRollout> known = configuration.rollout(rollout.pool());
    if (next.isEmpty()) {
      return false;
    }
    if (known.isEmpty()) {
      return rollout.order() == PoolRollout.NOT_RECORDED;
    }
    RolloutStage before = PoolRolloutPlan.stage(known.get());
    return rollout.order() == known.get().order()
        ? next.get().equals(before) || next.get().isAfter(before)
        : rollout.order() == PoolRollout.NOT_RECORDED && before.isFinal();
  }

  private static boolean mayRemove(Configuration configuration, ConfigurationObject object) {
    return switch (object) {
      case PriorityClass priorityClass ->
          !configuration.anyMatch(
              ClientAccount.class, account -> account.priorityClass().equals(priorityClass.name()));
      case FailureDomain domain -> !isUsed(configuration, domain);
      case ClientAccount account -> true;
      case Route route -> true;
      case BackendServer server -> true;
      case PoolRollout rollout -> false;
    };
  }

  private static boolean isUsed(Configuration configuration, FailureDomain domain) {
    return configuration.anyMatch(
        BackendServer.class, server -> server.domain().equals(domain.name()));
  }
}
