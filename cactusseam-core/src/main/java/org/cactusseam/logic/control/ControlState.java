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
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
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
 * the same configuration and membership, which lets the log arbitrate between operators without a
 * leader. The only time that it knows is the one that the log states for each record.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ControlState {

  /** Retention that is assumed if none is given. All nodes of a deployment must use the same. */
  public static final Duration DEFAULT_RETENTION = Duration.ofDays(7);

  /**
   * A remembered command.
   *
   * @param offset offset of its record
   * @param recordedAtMillis time of the record, as the log states it
   * @param verdict decision
   * @param serverOrder whether it is an order to a backend server; otherwise it changes the
   *     configuration
   */
  record Command(long offset, long recordedAtMillis, RecordOutcome verdict, boolean serverOrder) {}

  /**
   * The newest ended run of a node.
   *
   * @param boot identity of the run
   * @param endedAtMillis time of the record that ended it, as the log states it
   */
  record Ended(String boot, long endedAtMillis) {}

  private final long retentionMillis;
  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final Map<ObjectKey, Long> tombstones = new LinkedHashMap<>();
  private final Map<NodeName, Ended> ended = new LinkedHashMap<>();
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
   * @param retention time for which the log keeps records
   */
  public ControlState(Duration retention) {
    retentionMillis = retention.toMillis();
  }

  /**
   * Applies the record at an offset, at the time of the record before it.
   *
   * @param offset log offset, not below {@link #nextOffset()}
   * @param record record
   * @return what was decided
   */
  public RecordOutcome apply(long offset, ControlRecord record) {
    return apply(offset, logTimeMillis, record);
  }

  /**
   * Applies the record at an offset.
   *
   * @param offset log offset; records below {@link #nextOffset()} are duplicates
   * @param appendedAtMillis time of the record, as the log states it
   * @param record record
   * @return what was decided
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
    RecordOutcome verdict = next.isPresent() ? RecordOutcome.ACCEPTED : RecordOutcome.INVALID;
    if (order instanceof OrderRecord.Issued issued) {
      commands.put(issued.commandId(), new Command(offset, logTimeMillis, verdict, true));
    }
    orders = next.orElse(orders);
    return verdict;
  }

  /** A server can be removed between the operator's command and its record. */
  private boolean isToMissingServer(OrderRecord order) {
    return order instanceof OrderRecord.Issued issued
        && configuration.server(issued.server()).isEmpty();
  }

  /** Entries are in the order of their times, so the expired ones come first. */
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
      configuration = configuration.forget(next.getKey());
      tombstone.remove();
    }
    Iterator<Ended> run = ended.values().iterator();
    while (run.hasNext() && run.next().endedAtMillis < tombstoneLimit) {
      run.remove();
    }
  }

  private RecordOutcome applyChange(long offset, ControlRecord.Change change) {
    if (commands.containsKey(change.commandId())) {
      return RecordOutcome.DUPLICATE;
    }
    RecordOutcome verdict =
        expectedRevision(change.key()) == change.expectedRevision()
            ? ReferenceCheck.judge(configuration, change)
            : RecordOutcome.CONFLICT;
    commands.put(change.commandId(), new Command(offset, logTimeMillis, verdict, false));
    if (verdict == RecordOutcome.ACCEPTED) {
      change(offset, change);
    }
    return verdict;
  }

  private void change(long offset, ControlRecord.Change change) {
    boolean existed = configuration.find(change.key()).isPresent();
    tombstones.remove(change.key());
    if (change.value().isPresent()) {
      configuration = configuration.with(change.value().get(), offset);
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

  private Set<ShardId> shards() {
    return ShardMap.of(configuration).shards().keySet();
  }

  private RecordOutcome applyJoin(long offset, ControlRecord.Join join) {
    Member member = join.member();
    Optional<Membership.Entry> previous = membership.find(member.node());
    Optional<String> knownBoot = newestBoot(member.node());
    if (knownBoot.isPresent() && knownBoot.get().compareTo(member.boot()) >= 0) {
      boolean repeated = previous.isPresent() && knownBoot.get().equals(member.boot());
      return repeated ? RecordOutcome.DUPLICATE : RecordOutcome.INVALID;
    }
    Membership remaining = membership.without(member.node());
    MemberState standing =
        isOccupied(remaining, member.region()) ? MemberState.JOINED : MemberState.ACTIVE;
    previous.ifPresent(entry -> remember(entry.run()));
    changeMembership(offset, remaining.with(new Membership.Entry(member, offset, standing)));
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
    return switch (entry.standing()) {
      case JOINED -> {
        changeMembership(offset, membership.with(standing(entry, MemberState.ACTIVE)));
        yield RecordOutcome.ACCEPTED;
      }
      case ACTIVE -> RecordOutcome.DUPLICATE;
      case SUSPENDED -> RecordOutcome.INVALID;
    };
  }

  private static Membership.Entry standing(Membership.Entry entry, MemberState standing) {
    return new Membership.Entry(entry.member(), entry.joinedAt(), standing);
  }

  private RecordOutcome applyLeave(long offset, ControlRecord.Leave leave) {
    Optional<Membership.Entry> entry = membership.find(new RunId(leave.node(), leave.boot()));
    entry.ifPresent(found -> end(offset, found));
    return entry.isPresent() ? RecordOutcome.ACCEPTED : RecordOutcome.INVALID;
  }

  private RecordOutcome applyExpel(long offset, ControlRecord.Expel expel) {
    Optional<Membership.Entry> target = membership.find(new RunId(expel.node(), expel.boot()));
    Optional<Membership.Entry> sender =
        membership.find(expel.by()).filter(by -> by.standing() != MemberState.SUSPENDED);
    if (target.isEmpty() || sender.isEmpty() || expel.node().equals(expel.by())) {
      return RecordOutcome.INVALID;
    }
    if (expel.reason() == ExpelReason.GONE) {
      end(offset, target.get());
      return RecordOutcome.ACCEPTED;
    }
    boolean mayJudge =
        sender.get().active()
            && sender.get().member().region().equals(target.get().member().region());
    return mayJudge ? suspend(offset, target.get()) : RecordOutcome.INVALID;
  }

  private RecordOutcome suspend(long offset, Membership.Entry target) {
    return switch (target.standing()) {
      case JOINED -> {
        end(offset, target);
        yield RecordOutcome.ACCEPTED;
      }
      case ACTIVE -> {
        changeMembership(offset, membership.with(standing(target, MemberState.SUSPENDED)));
        yield RecordOutcome.ACCEPTED;
      }
      case SUSPENDED -> RecordOutcome.DUPLICATE;
    };
  }

  private void end(long offset, Membership.Entry entry) {
    remember(entry.run());
    changeMembership(offset, membership.without(entry.run().node()));
  }

  private void remember(RunId run) {
    ended.remove(run.node());
    ended.put(run.node(), new Ended(run.boot(), logTimeMillis));
  }

  private void changeMembership(long offset, Membership changed) {
    owners = owners.updated(Set.of(), membership, changed, offset);
    membership = changed;
  }

  /**
   * Returns what was decided about an operator's command.
   *
   * @param commandId identity of the command
   * @return the verdict, or empty if the command was not seen within the retention period
   */
  public Optional<RecordOutcome> recordedOutcome(String commandId) {
    return Optional.ofNullable(commands.get(commandId)).map(Command::verdict);
  }

  /**
   * Returns the offset of the record of an operator's command.
   *
   * @param commandId identity of the command
   * @return the offset, or empty if the command was not seen within the retention period
   */
  public Optional<Long> offsetOf(String commandId) {
    return Optional.ofNullable(commands.get(commandId)).map(Command::offset);
  }

  /**
   * Tells whether an operator's command is an order to a backend server. The command is remembered
   * for longer than the order, of which {@link #orders()} keeps a bounded number.
   *
   * @param commandId identity of the command
   * @return true if it is one; false for changes of the configuration and unknown commands
   */
  public boolean isServerOrder(String commandId) {
    return Optional.ofNullable(commands.get(commandId)).filter(Command::serverOrder).isPresent();
  }

  /**
   * Returns the revision that a change of an object must expect now. For a removed object it is the
   * offset of the removal while the tombstone is kept, so that a late copy of the command that
   * created the object does not bring it back.
   *
   * @param key object
   * @return log offset, or {@link ControlRecord#ABSENT_REVISION}
   */
  public long expectedRevision(ObjectKey key) {
    return configuration.revision(key).orElse(ControlRecord.ABSENT_REVISION);
  }

  /**
   * Returns the current configuration.
   *
   * @return immutable view
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the current membership.
   *
   * @return immutable view
   */
  public Membership membership() {
    return membership;
  }

  /**
   * Returns the newest boot identity of a node that the state knows. A join with the same or an
   * earlier one is a late copy.
   *
   * @param node entry daemon
   * @return boot identity of the current or the last run
   */
  public Optional<String> newestBoot(NodeName node) {
    return membership
        .find(node)
        .map(entry -> entry.member().boot())
        .or(() -> Optional.ofNullable(ended.get(node)).map(Ended::boot));
  }

  /**
   * Returns the orders to backend servers.
   *
   * @return immutable view
   */
  public OrderView orders() {
    return orders;
  }

  /**
   * Returns the owner and epoch of every shard.
   *
   * @return immutable view
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
   * Returns the greatest time that the log stated for an applied record.
   *
   * @return milliseconds since the epoch
   */
  public long logTimeMillis() {
    return logTimeMillis;
  }

  /**
   * Tells whether the state can follow a log that has dropped its early records.
   *
   * @param earliest first retained offset
   * @return false if records are missing, so that a snapshot is needed
   */
  public boolean canContinueFrom(long earliest) {
    return nextOffset >= earliest;
  }

  /**
   * Returns the state as snapshot records at the basis {@link #nextOffset()}. Equal states give
   * equal records.
   *
   * @param encodedBytes size of an entry in the encoding of the log
   * @return the parts in order
   */
  public List<ControlRecord.Snapshot> snapshot(ToIntFunction<SnapshotEntry> encodedBytes) {
    List<SnapshotEntry> entries =
        SnapshotEntries.of(configuration, membership, owners, commands, tombstones, ended, orders);
    return SnapshotEntries.split(nextOffset, logTimeMillis, entries, encodedBytes);
  }

  /**
   * Replaces the state by a complete snapshot, unless the state is at least as new: revisions never
   * go back.
   *
   * @param parts all parts of one snapshot, in order
   * @return true if the state was replaced
   * @throws IllegalArgumentException if the parts are not one complete snapshot
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
    replace(commands, restored.commands());
    replace(tombstones, restored.tombstones());
    replace(ended, restored.ended());
    nextOffset = parts.get(0).basis();
    logTimeMillis = parts.get(0).logTimeMillis();
    return true;
  }

  private static <K, V> void replace(Map<K, V> target, Map<K, V> source) {
    target.clear();
    target.putAll(source);
  }
}
