package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import java.util.Optional;
import org.cactusseam.logic.rollout.RolloutState;

/** Keeps the stages of orders in the platform's store. Implemented by the platform's adapter. */
public interface RolloutStore {

  /**
   * Writes a state, unless the store already has it or a state other than the one that it follows.
   * Every gateway reads it and calls {@link StoreUpdateListener#onRolloutState}.
   *
   * @param known state from which the next one was decided; empty if none is known
   * @param next state to write
   * @return completes with the state that the store has, which is a later one if another gateway
   *     was first; fails if the store does not answer or has changed during the call
   */
  Future<RolloutState> writeState(Optional<RolloutState> known, RolloutState next);

  /**
   * Writes the status that operators read, unless the store already has it or a later state.
   *
   * @param state state to report
   * @return completes when the store has the status
   */
  Future<Void> writeStatus(RolloutState state);
}
