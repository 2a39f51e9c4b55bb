package org.cactusseam.edge.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;

/**
 * Determines which daemon grants the permits of a shard: the owner in the control log, or the
 * interim owner to which it has handed the shard over. Confined to the control thread.
 */
final class ShardOwnership {

  private final Supplier<ControlState> state;
  private final Runnable listener;
  private final Map<ShardId, Handover> interimOwners = new HashMap<>();

  /**
   * Creates a table without interim owners.
   *
   * @param state supplies the control state
   * @param listener called after each change that may have changed an owner
   */
  ShardOwnership(Supplier<ControlState> state, Runnable listener) {
    this.state = state;
    this.listener = listener;
  }

  /**
   * Records the interim owner of a shard. A handover by an owner that the log no longer names has
   * no effect.
   *
   * @param handover handover that the interim owner accepted
   */
  void recordHandover(Handover handover) {
    interimOwners.put(handover.shard(), handover);
    onStateChanged();
  }

  /**
   * Removes the interim owners whose predecessor is no longer the owner in the control state, and
   * calls the listener.
   */
  void onStateChanged() {
    interimOwners
        .entrySet()
        .removeIf(
            entry ->
                state
                    .get()
                    .owners()
                    .of(entry.getKey())
                    .map(owner -> !owner.run().equals(entry.getValue().onBehalfOf()))
                    .orElse(true));
    listener.run();
  }

  Optional<NodeName> ownerOf(ShardId shard) {
    Handover handover = interimOwners.get(shard);
    if (handover != null) {
      return Optional.of(handover.to().node());
    }
    return state.get().owners().of(shard).map(owner -> owner.run().node());
  }

  Set<NodeName> ownersOfPool(ShardId shard) {
    return state.get().owners().owners().keySet().stream()
        .filter(other -> other.pool().equals(shard.pool()))
        .flatMap(other -> ownerOf(other).stream())
        .collect(Collectors.toSet());
  }

  /**
   * Returns the shards that a process owns by the log or as the interim owner.
   *
   * @param run process of an entry daemon
   * @return epochs by shard
   */
  Map<ShardId, Long> epochsOf(RunId run) {
    Map<ShardId, Long> epochs = new HashMap<>();
    state
        .get()
        .owners()
        .owners()
        .forEach(
            (shard, owner) ->
                owner
                    .filter(found -> found.run().equals(run) || isInterimOwner(shard, found, run))
                    .ifPresent(found -> epochs.put(shard, found.epoch())));
    return epochs;
  }

  private boolean isInterimOwner(ShardId shard, ShardOwner owner, RunId run) {
    Handover handover = interimOwners.get(shard);
    return handover != null
        && handover.onBehalfOf().equals(owner.run())
        && handover.to().equals(run);
  }
}
