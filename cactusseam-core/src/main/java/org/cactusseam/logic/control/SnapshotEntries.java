package org.cactusseam.logic.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import org.cactusseam.logic.orders.OrderView;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.Route;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.ShardOwner;
import org.cactusseam.model.control.SnapshotEntry;

/**
 * Converts the control state to the entries of a snapshot and back, and splits the entries into
 * records.
 */
final class SnapshotEntries {

  /**
   * Bound on one record of a snapshot. Larger appends take so long that they delay the appends of
   * other nodes.
   */
  static final int MAXIMUM_PART_BYTES = 256 * 1024;

  /** Bytes reserved for the fields around the entries; separators are counted per entry. */
  private static final int ENVELOPE_BYTES = 512;

  private static final int SEPARATOR_BYTES = 1;

  /** Object types in an order in which every reference points to an entry that precedes it. */
  private static final List<Class<? extends ConfigurationObject>> RESTORE_ORDER =
      List.of(
          PriorityClass.class,
          ClientAccount.class,
          Route.class,
          FailureDomain.class,
          BackendServer.class,
          PoolRollout.class);

  /**
   * State read from the entries of a snapshot.
   *
   * @param configuration configuration objects with their revisions and shards
   * @param membership members in the order of their records
   * @param owners owner and epoch of every shard
   * @param commands remembered commands by identity
   * @param tombstones times at which objects were removed, in milliseconds on the clock of the log
   * @param ended newest ended run of each node
   * @param orders orders to backend servers
   */
  record Restored(
      Configuration configuration,
      Membership membership,
      ShardOwners owners,
      Map<String, ControlState.Command> commands,
      Map<ObjectKey, Long> tombstones,
      Map<NodeName, ControlState.EndedRun> ended,
      OrderView orders) {}

  private SnapshotEntries() {}

  /** Returns the entries of a state; equal states give equal entries in the same order. */
  static List<SnapshotEntry> of(
      Configuration configuration,
      Membership membership,
      ShardOwners owners,
      Map<String, ControlState.Command> commands,
      Map<ObjectKey, Long> tombstones,
      Map<NodeName, ControlState.EndedRun> ended,
      OrderView orders) {
    List<SnapshotEntry> entries = new ArrayList<>();
    for (Class<? extends ConfigurationObject> type : RESTORE_ORDER) {
      configuration.all(type).forEach(object -> entries.add(present(configuration, object)));
    }
    tombstones.forEach((key, time) -> entries.add(tombstone(configuration, key, time)));
    commands.forEach(
        (id, command) ->
            entries.add(
                new SnapshotEntry.Command(
                    id,
                    command.offset(),
                    command.recordedAtMillis(),
                    SnapshotEntry.Outcome.valueOf(command.outcome().name()),
                    command.serverOrder())));
    membership
        .entries()
        .forEach(
            entry ->
                entries.add(
                    new SnapshotEntry.Run(entry.member(), entry.joinedAt(), entry.state())));
    ended.forEach(
        (node, run) ->
            entries.add(new SnapshotEntry.EndedRun(node, run.boot(), run.endedAtMillis())));
    owners.owners().keySet().stream()
        .sorted()
        .forEach(shard -> entries.add(new SnapshotEntry.Owned(shard, owners.of(shard))));
    orders.entries().forEach(entry -> entries.add(entry.toSnapshot()));
    return entries;
  }

  private static SnapshotEntry present(Configuration configuration, ConfigurationObject object) {
    Optional<Integer> shard =
        object instanceof BackendServer server
            ? configuration.shardOf(server.name()).map(ShardId::index)
            : Optional.empty();
    return new SnapshotEntry.Present(
        object, configuration.revision(object.key()).orElseThrow(), shard);
  }

  private static SnapshotEntry tombstone(Configuration configuration, ObjectKey key, long time) {
    Optional<ShardId> shard =
        key.kind() == ObjectKind.BACKEND_SERVER
            ? configuration.lastKnownShard(new BackendServerName(key.name()))
            : Optional.empty();
    return new SnapshotEntry.Tombstone(key, configuration.revision(key).orElseThrow(), time, shard);
  }

  /** Rebuilds a state from entries in the order in which they were written. */
  static Restored restore(List<SnapshotEntry> entries) {
    Configuration configuration = Configuration.EMPTY;
    List<Membership.Entry> members = new ArrayList<>();
    Map<ShardId, Optional<ShardOwner>> owners = new HashMap<>();
    Map<String, ControlState.Command> commands = new LinkedHashMap<>();
    Map<ObjectKey, Long> tombstones = new LinkedHashMap<>();
    Map<NodeName, ControlState.EndedRun> ended = new LinkedHashMap<>();
    List<OrderView.Entry> orders = new ArrayList<>();
    for (SnapshotEntry entry : entries) {
      switch (entry) {
        case SnapshotEntry.Present present ->
            configuration =
                configuration.restored(present.value(), present.revision(), present.shard());
        case SnapshotEntry.Tombstone tombstone -> {
          configuration =
              configuration.restoredRemoval(
                  tombstone.key(), tombstone.revision(), tombstone.shard());
          tombstones.put(tombstone.key(), tombstone.removedAtMillis());
        }
        case SnapshotEntry.Command command ->
            commands.put(
                command.commandId(),
                new ControlState.Command(
                    command.offset(),
                    command.recordedAtMillis(),
                    RecordOutcome.valueOf(command.outcome().name()),
                    command.serverOrder()));
        case SnapshotEntry.Run run ->
            members.add(new Membership.Entry(run.member(), run.joinedAt(), run.standing()));
        case SnapshotEntry.EndedRun run ->
            ended.put(run.node(), new ControlState.EndedRun(run.boot(), run.endedAtMillis()));
        case SnapshotEntry.Owned owned -> owners.put(owned.shard(), owned.owner());
        case SnapshotEntry.Order order -> orders.add(OrderView.Entry.of(order));
      }
    }
    return new Restored(
        configuration,
        new Membership(members),
        new ShardOwners(owners),
        commands,
        tombstones,
        ended,
        new OrderView(orders));
  }

  /**
   * Groups entries into records of at most {@link #MAXIMUM_PART_BYTES}; a larger entry is alone.
   */
  static List<ControlRecord.Snapshot> split(
      long basis,
      long logTimeMillis,
      List<SnapshotEntry> entries,
      ToIntFunction<SnapshotEntry> encodedBytes) {
    List<List<SnapshotEntry>> groups = new ArrayList<>();
    List<SnapshotEntry> group = new ArrayList<>();
    int bytes = ENVELOPE_BYTES;
    for (SnapshotEntry entry : entries) {
      int size = encodedBytes.applyAsInt(entry) + SEPARATOR_BYTES;
      if (!group.isEmpty() && bytes + size > MAXIMUM_PART_BYTES) {
        groups.add(group);
        group = new ArrayList<>();
        bytes = ENVELOPE_BYTES;
      }
      group.add(entry);
      bytes += size;
    }
    groups.add(group);
    List<ControlRecord.Snapshot> parts = new ArrayList<>();
    for (List<SnapshotEntry> part : groups) {
      parts.add(
          new ControlRecord.Snapshot(basis, logTimeMillis, parts.size(), groups.size(), part));
    }
    return List.copyOf(parts);
  }

  /** Rejects a list that is not all parts of one snapshot in order. */
  static void requireComplete(List<ControlRecord.Snapshot> parts) {
    boolean complete = !parts.isEmpty() && parts.size() == parts.get(0).parts();
    for (int position = 0; complete && position < parts.size(); position++) {
      ControlRecord.Snapshot part = parts.get(position);
      complete = part.part() == position && part.basis() == parts.get(0).basis();
    }
    if (!complete) {
      throw new IllegalArgumentException(
          "snapshot parts are incomplete, out of order or of different snapshots");
    }
  }
}
