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
 * Tells which node to ask for a permit: the owner that the control log names, or the node that
 * stands in for it after a handover. Confined to the control thread.
 */
final class ShardOwnership {

  private final Supplier<ControlState> state;
  private final Runnable listener;
  private final Map<ShardId, Handover> standIns = new HashMap<>();

  /**
   * Creates a table without handovers.
   *
   * @param state control state
   * @param listener called after each change that may name other nodes
   */
  ShardOwnership(Supplier<ControlState> state, Runnable listener) {
    this.state = state;
    this.listener = listener;
  }

  /**
   * Notes that a node stands in for the owner of a shard. A handover for an owner that the log no
   * longer names has no effect.
   *
   * @param handover handover that the successor accepted
   */
  void handedOver(Handover handover) {
    standIns.put(handover.shard(), handover);
    changed();
  }

  /** Notes a change of the control state. */
  void changed() {
    standIns
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
    Handover handover = standIns.get(shard);
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
   * Returns the shards of a run, by the log or as a stand-in.
   *
   * @param run run
   * @return shards with their epochs
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
                    .filter(found -> found.run().equals(run) || standsInFor(shard, found, run))
                    .ifPresent(found -> epochs.put(shard, found.epoch())));
    return epochs;
  }

  private boolean standsInFor(ShardId shard, ShardOwner owner, RunId run) {
    Handover handover = standIns.get(shard);
    return handover != null
        && handover.onBehalfOf().equals(owner.run())
        && handover.to().equals(run);
  }
}
