package org.cactusseam.logic.control;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.logic.orders.OrderView;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.ExpelReason;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.MemberState;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.SnapshotEntry;

/**
 * State machine over the control log. It is deterministic: nodes that applied the same records hold
 * the same configuration and membership, so the order of the log decides between concurrent
 * operators and no leader is needed. The only time that it uses is the one that the log reports for
 * each record.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ControlState {

  /** Default retention of the log. All nodes of a deployment must use the same retention. */
  public static final Duration DEFAULT_RETENTION = Duration.ofDays(7);

  /**
   * A command that is remembered for the retention period, so that repeats are rejected.
   *
   * @param offset log offset of its record
   * @param recordedAtMillis append time on the clock of the log, in milliseconds since the epoch
   * @param outcome outcome of the command
   * @param serverOrder whether it is an order to a backend server; otherwise it changes the
   *     configuration
   */
  record Command(long offset, long recordedAtMillis, RecordOutcome outcome, boolean serverOrder) {}

  /**
   * The newest ended run of a node.
   *
   * @param boot boot identity of the run
   * @param endedAtMillis append time of the record that ended it, on the clock of the log, in
   *     milliseconds since the epoch
   */
  record EndedRun(String boot, long endedAtMillis) {}

  private final long retentionMillis;
  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final Map<ObjectKey, Long> tombstones = new LinkedHashMap<>();
  private final Map<NodeName, EndedRun> ended = new LinkedHashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Membership membership = Membership.EMPTY;
  private ShardOwners owners = ShardOwners.EMPTY;
  private OrderView orders = OrderView.EMPTY;
  private long nextOffset;
  private long logTimeMillis;

  /** Creates an empty state with the {@link #DEFAULT_RETENTION}. */
  public ControlState() {
    this(DEFAULT_RETENTION);
  }

  /**
   * Creates an empty state.
   *
   * @param retention time for which the log retains records
   */
  public ControlState(Duration retention) {
    retentionMillis = retention.toMillis();
  }

  /**
   * Applies the record at an offset, with the time of the preceding record.
   *
   * @param offset log offset, not below {@link #nextOffset()}
   * @param record record to apply
   * @return outcome of the record
   */
  public RecordOutcome apply(long offset, ControlRecord record) {
    return apply(offset, logTimeMillis, record);
  }

  /**
   * Applies the record at an offset. Offsets may be skipped; an earlier offset has no effect.
   *
   * @param offset log offset; records below {@link #nextOffset()} are duplicates
   * @param appendedAtMillis append time on the clock of the log, in milliseconds since the epoch
   * @param record record to apply
   * @return outcome of the record
   */
  public RecordOutcome apply(long offset, long appendedAtMillis, ControlRecord record) {
    if (offset < nextOffset) {
      return RecordOutcome.DUPLICATE;
    }
    nextOffset = offset + 1;
    logTimeMillis = Math.max(logTimeMillis, appendedAtMillis);
    expire();
    return switch (record) {
      case ControlRecord.Change change -> applyChange(offset, change);
      case ControlRecord.Join join -> applyJoin(offset, join);
      case ControlRecord.Activate activate -> applyActivate(offset, activate);
      case ControlRecord.Leave leave -> applyLeave(offset, leave);
      case ControlRecord.Expel expel -> applyExpel(offset, expel);
      case ControlRecord.Snapshot snapshot -> RecordOutcome.ACCEPTED;
      case ControlRecord.Unreadable unreadable -> RecordOutcome.INVALID;
      case OrderRecord order -> applyOrder(offset, order);
    };
  }

  private RecordOutcome applyOrder(long offset, OrderRecord order) {
    if (order instanceof OrderRecord.Issued issued && commands.containsKey(issued.commandId())) {
      return RecordOutcome.DUPLICATE;
    }
    Optional<OrderView> next =
        orders.apply(offset, order).filter(applied -> !isToMissingServer(order));
    RecordOutcome outcome = next.isPresent() ? RecordOutcome.ACCEPTED : RecordOutcome.INVALID;
    if (order instanceof OrderRecord.Issued issued) {
      commands.put(issued.commandId(), new Command(offset, logTimeMillis, outcome, true));
    }
    orders = next.orElse(orders);
    return outcome;
  }

  /**
   * Tells whether an order is for a server that does not exist. The server may be removed between
   * the check of the operator's command and its record.
   */
  private boolean isToMissingServer(OrderRecord order) {
    return order instanceof OrderRecord.Issued issued
        && configuration.server(issued.server()).isEmpty();
  }

  /**
   * Removes commands after the retention period, and tombstones and ended runs after twice that.
   * Entries are in the order of their times, so the expired ones come first.
   */
  private void expire() {
    long commandLimit = logTimeMillis - retentionMillis;
    Iterator<Command> command = commands.values().iterator();
    while (command.hasNext() && command.next().recordedAtMillis < commandLimit) {
      command.remove();
    }
    long tombstoneLimit = logTimeMillis - 2 * retentionMillis;
    Iterator<Map.Entry<ObjectKey, Long>> tombstone = tombstones.entrySet().iterator();
    while (tombstone.hasNext()) {
      Map.Entry<ObjectKey, Long> next = tombstone.next();
      if (next.getValue() >= tombstoneLimit) {
        break;
      }
      configuration = configuration.withoutTombstone(next.getKey());
      tombstone.remove();
    }
    Iterator<EndedRun> run = ended.values().iterator();
    while (run.hasNext() && run.next().endedAtMillis < tombstoneLimit) {
      run.remove();
    }
  }

  private RecordOutcome applyChange(long offset, ControlRecord.Change change) {
    if (commands.containsKey(change.commandId())) {
      return RecordOutcome.DUPLICATE;
    }
    RecordOutcome outcome =
        expectedRevision(change.key()) == change.expectedRevision()
            ? ReferenceCheck.check(configuration, change)
            : RecordOutcome.CONFLICT;
    commands.put(change.commandId(), new Command(offset, logTimeMillis, outcome, false));
    if (outcome == RecordOutcome.ACCEPTED) {
      applyAccepted(offset, change);
    }
    return outcome;
  }

  private void applyAccepted(long offset, ControlRecord.Change change) {
    boolean existed = configuration.find(change.key()).isPresent();
    tombstones.remove(change.key());
    if (change.value().isPresent()) {
      configuration = configuration.with(recorded(change.value().get(), offset), offset);
    } else {
      configuration = configuration.without(change.key(), offset);
      tombstones.put(change.key(), logTimeMillis);
      if (change.key().kind() == ObjectKind.BACKEND_SERVER) {
        orders = orders.withServerRemoved(new BackendServerName(change.key().name()));
      }
    }
    if (change.key().kind() == ObjectKind.BACKEND_SERVER && !existed) {
      owners = owners.updated(shards(), membership, membership, offset);
    }
  }

  private ConfigurationObject recorded(ConfigurationObject value, long offset) {
    return value instanceof PoolRollout rollout ? rollout.recorded(offset, logTimeMillis) : value;
  }

  private Set<ShardId> shards() {
    return ShardMap.of(configuration).shards().keySet();
  }

  private RecordOutcome applyJoin(long offset, ControlRecord.Join join) {
    Member member = join.member();
    Optional<Membership.Entry> previous = membership.find(member.node());
    Optional<String> knownBoot = newestBootId(member.node());
    if (knownBoot.isPresent() && knownBoot.get().compareTo(member.boot()) >= 0) {
      boolean repeated = previous.isPresent() && knownBoot.get().equals(member.boot());
      return repeated ? RecordOutcome.DUPLICATE : RecordOutcome.INVALID;
    }
    Membership remaining = membership.without(member.node());
    MemberState state =
        isOccupied(remaining, member.region()) ? MemberState.JOINED : MemberState.ACTIVE;
    previous.ifPresent(entry -> recordEnded(entry.run()));
    changeMembership(offset, remaining.with(new Membership.Entry(member, offset, state)));
    return RecordOutcome.ACCEPTED;
  }

  private static boolean isOccupied(Membership membership, RegionName region) {
    return membership.inRegion(region).stream().anyMatch(Membership.Entry::mayActAsOwner);
  }

  private RecordOutcome applyActivate(long offset, ControlRecord.Activate activate) {
    return membership
        .find(new RunId(activate.node(), activate.boot()))
        .map(entry -> activate(offset, entry))
        .orElse(RecordOutcome.INVALID);
  }

  private RecordOutcome activate(long offset, Membership.Entry entry) {
    return switch (entry.state()) {
      case JOINED -> {
        changeMembership(offset, membership.with(withState(entry, MemberState.ACTIVE)));
        yield RecordOutcome.ACCEPTED;
      }
      case ACTIVE -> RecordOutcome.DUPLICATE;
      case SUSPENDED -> RecordOutcome.INVALID;
    };
  }

  private static Membership.Entry withState(Membership.Entry entry, MemberState state) {
    return new Membership.Entry(entry.member(), entry.joinedAt(), state);
  }

  private RecordOutcome applyLeave(long offset, ControlRecord.Leave leave) {
    Optional<Membership.Entry> entry = membership.find(new RunId(leave.node(), leave.boot()));
    entry.ifPresent(found -> endRun(offset, found));
    return entry.isPresent() ? RecordOutcome.ACCEPTED : RecordOutcome.INVALID;
  }

  private RecordOutcome applyExpel(long offset, ControlRecord.Expel expel) {
    Optional<Membership.Entry> target = membership.find(new RunId(expel.node(), expel.boot()));
    Optional<Membership.Entry> sender =
        membership.find(expel.by()).filter(by -> by.state() != MemberState.SUSPENDED);
    if (target.isEmpty() || sender.isEmpty() || expel.node().equals(expel.by())) {
      return RecordOutcome.INVALID;
    }
    if (expel.reason() == ExpelReason.GONE) {
      endRun(offset, target.get());
      return RecordOutcome.ACCEPTED;
    }
    boolean maySuspend =
        sender.get().active()
            && sender.get().member().region().equals(target.get().member().region());
    return maySuspend ? suspend(offset, target.get()) : RecordOutcome.INVALID;
  }

  private RecordOutcome suspend(long offset, Membership.Entry target) {
    return switch (target.state()) {
      case JOINED -> {
        endRun(offset, target);
        yield RecordOutcome.ACCEPTED;
      }
      case ACTIVE -> {
        changeMembership(offset, membership.with(withState(target, MemberState.SUSPENDED)));
        yield RecordOutcome.ACCEPTED;
      }
      case SUSPENDED -> RecordOutcome.DUPLICATE;
    };
  }

  private void endRun(long offset, Membership.Entry entry) {
    recordEnded(entry.run());
    changeMembership(offset, membership.without(entry.run().node()));
  }

  private void recordEnded(RunId run) {
    ended.remove(run.node());
    ended.put(run.node(), new EndedRun(run.boot(), logTimeMillis));
  }

  private void changeMembership(long offset, Membership changed) {
    owners = owners.updated(Set.of(), membership, changed, offset);
    membership = changed;
  }

  /**
   * Returns the outcome of an operator's command.
   *
   * @param commandId identity of the command
   * @return outcome, or empty if no record of the command was applied within the retention period
   */
  public Optional<RecordOutcome> recordedOutcome(String commandId) {
    return Optional.ofNullable(commands.get(commandId)).map(Command::outcome);
  }

  /**
   * Returns the offset of the record of an operator's command.
   *
   * @param commandId identity of the command
   * @return log offset, or empty if no record of the command was applied within the retention
   *     period
   */
  public Optional<Long> offsetOf(String commandId) {
    return Optional.ofNullable(commands.get(commandId)).map(Command::offset);
  }

  /**
   * Tells whether an operator's command is an order to a backend server. Commands may be remembered
   * for longer than their orders, of which {@link #orders()} keeps a bounded number.
   *
   * @param commandId identity of the command
   * @return true if it is an order; false for configuration changes and unknown commands
   */
  public boolean isServerOrder(String commandId) {
    return Optional.ofNullable(commands.get(commandId)).filter(Command::serverOrder).isPresent();
  }

  /**
   * Returns the revision that a change of an object must expect now. For a removed object it is the
   * offset of the removal while the tombstone is kept, so that a delayed duplicate of the command
   * that created the object does not create it again.
   *
   * @param key identity of the object
   * @return log offset, or {@link ControlRecord#ABSENT_REVISION}
   */
  public long expectedRevision(ObjectKey key) {
    return configuration.revision(key).orElse(ControlRecord.ABSENT_REVISION);
  }

  /**
   * Returns the current configuration.
   *
   * @return immutable configuration objects with their revisions
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the current membership.
   *
   * @return immutable view of the members
   */
  public Membership membership() {
    return membership;
  }

  /**
   * Returns the newest known boot identity of a node. A join with the same or an earlier one is a
   * delayed duplicate.
   *
   * @param node entry daemon
   * @return boot identity of the current or the last run; empty if none is known
   */
  public Optional<String> newestBootId(NodeName node) {
    return membership
        .find(node)
        .map(entry -> entry.member().boot())
        .or(() -> Optional.ofNullable(ended.get(node)).map(EndedRun::boot));
  }

  /**
   * Returns the orders to backend servers.
   *
   * @return immutable view with a bounded number of orders
   */
  public OrderView orders() {
    return orders;
  }

  /**
   * Returns the owner and epoch of every shard.
   *
   * @return immutable view of the owners
   */
  public ShardOwners owners() {
    return owners;
  }

  /**
   * Returns the offset of the next record to apply.
   *
   * @return log offset
   */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the latest append time of the applied records on the clock of the log.
   *
   * @return milliseconds since the epoch
   */
  public long logTimeMillis() {
    return logTimeMillis;
  }

  /**
   * Tells whether the state can continue with a log that has expired its early records.
   *
   * @param earliest first retained offset
   * @return false if records are missing, so that a snapshot is needed
   */
  public boolean canContinueFrom(long earliest) {
    return nextOffset >= earliest;
  }

  /**
   * Returns the state as snapshot records at the basis {@link #nextOffset()}. Equal states give
   * equal records, so nodes that write the same snapshot write the same parts.
   *
   * @param encodedBytes size of an entry in the encoding of the log, in bytes
   * @return all parts of the snapshot in order
   */
  public List<ControlRecord.Snapshot> snapshot(ToIntFunction<SnapshotEntry> encodedBytes) {
    List<SnapshotEntry> entries =
        SnapshotEntries.of(configuration, membership, owners, commands, tombstones, ended, orders);
    return SnapshotEntries.split(nextOffset, logTimeMillis, entries, encodedBytes);
  }

  /**
   * Replaces the state by a complete snapshot, unless the state is at least as new: revisions must
   * never decrease.
   *
   * @param parts all parts of one snapshot, in order
   * @return true if the state was replaced
   * @throws IllegalArgumentException if the parts are not one complete snapshot in order
   */
  public boolean load(List<ControlRecord.Snapshot> parts) {
    SnapshotEntries.requireComplete(parts);
    if (parts.get(0).basis() <= nextOffset) {
      return false;
    }
    List<SnapshotEntry> entries = parts.stream().flatMap(part -> part.entries().stream()).toList();
    SnapshotEntries.Restored restored = SnapshotEntries.restore(entries);
    configuration = restored.configuration();
    membership = restored.membership();
    owners = restored.owners();
    orders = restored.orders();
    replaceAll(commands, restored.commands());
    replaceAll(tombstones, restored.tombstones());
    replaceAll(ended, restored.ended());
    nextOffset = parts.get(0).basis();
    logTimeMillis = parts.get(0).logTimeMillis();
    return true;
  }

  private static <K, V> void replaceAll(Map<K, V> target, Map<K, V> source) {
    target.clear();
    target.putAll(source);
  }
}
