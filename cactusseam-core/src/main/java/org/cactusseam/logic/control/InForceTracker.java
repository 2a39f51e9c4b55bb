package org.cactusseam.logic.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;

/**
 * Decides when a recorded command is in force. Each affected shard needs an owner that has applied
 * the record and has taken the shard over from all earlier owners; after the last of these
 * confirmations the validity of the permits that were granted before must pass. Later owners have
 * applied the record by construction. An owner that still waits for its predecessor does not count,
 * because the predecessor may grant without having applied the record.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class InForceTracker {

  /** Time after which the operator gets a response even if the command is not in force yet. */
  public static final Duration ANSWER_AFTER = Duration.ofSeconds(7);

  /** Bound on tracked commands; covers more than a day of commands at the target scale. */
  private static final int MAXIMUM_COMMANDS = 10_000;

  private static final class Progress {
    private final String commandId;
    private final long offset;
    private final Instant recordedAt;
    private final Duration permitWait;
    private final Set<ShardId> unconfirmedShards;
    private Optional<Instant> confirmedAt = Optional.empty();
    private boolean inForce;
    private boolean waitingReported;

    private Progress(
        String commandId, long offset, Set<ShardId> affected, Instant now, Duration permitWait) {
      this.permitWait = permitWait;
      this.commandId = commandId;
      this.offset = offset;
      this.recordedAt = now;
      this.unconfirmedShards = new TreeSet<>(affected);
    }
  }

  private final Clock clock;
  private final Duration permitValidity;
  private final Map<String, Progress> commands = new LinkedHashMap<>();
  private final Map<RunId, PeerStatus> statuses = new HashMap<>();
  private final List<InForceEvent> events = new ArrayList<>();
  private ShardOwners owners = ShardOwners.EMPTY;
  private Membership membership = Membership.EMPTY;
  private long nextOffset;

  /**
   * Creates a tracker without commands.
   *
   * @param clock monotonic clock
   * @param permitValidity how long a granted permit may be used
   */
  public InForceTracker(Clock clock, Duration permitValidity) {
    this.clock = clock;
    this.permitValidity = permitValidity;
  }

  /**
   * Returns the shards whose owners must confirm a change: those of the changed failure domain or
   * backend server before and after the change, or all shards for other objects.
   *
   * @param key identity of the changed object
   * @param before configuration before the change
   * @param after configuration after the change
   * @param owners owners of all shards
   * @return shards whose owners must confirm the change
   */
  public static Set<ShardId> affected(
      ObjectKey key, Configuration before, Configuration after, ShardOwners owners) {
    return switch (key.kind()) {
      case FAILURE_DOMAIN -> union(shardsOfDomain(key, before), shardsOfDomain(key, after));
      case BACKEND_SERVER -> union(shardOfServer(key, before), shardOfServer(key, after));
      case POOL_ROLLOUT ->
          owners.owners().keySet().stream()
              .filter(shard -> shard.pool().value().equals(key.name()))
              .collect(Collectors.toSet());
      case ACCOUNT, PRIORITY_CLASS, ROUTE -> owners.owners().keySet();
    };
  }

  private static Set<ShardId> shardsOfDomain(ObjectKey key, Configuration configuration) {
    return configuration.all(BackendServer.class).stream()
        .filter(server -> server.domain().value().equals(key.name()))
        .flatMap(server -> configuration.shardOf(server.name()).stream())
        .collect(Collectors.toSet());
  }

  private static Set<ShardId> shardOfServer(ObjectKey key, Configuration configuration) {
    return configuration.shardOf(new BackendServerName(key.name())).stream()
        .collect(Collectors.toSet());
  }

  private static Set<ShardId> union(Set<ShardId> left, Set<ShardId> right) {
    Set<ShardId> all = new HashSet<>(left);
    all.addAll(right);
    return all;
  }

  /**
   * Starts to track an accepted command. A daemon that is asked about a command that it has not
   * tracked may call this later with all shards; the command is then reported in force at the same
   * time or later.
   *
   * @param commandId identity of the command
   * @param offset offset of its record, which this node has applied
   * @param affected shards whose owners must confirm
   */
  public void trackCommand(String commandId, long offset, Set<ShardId> affected) {
    track(new Progress(commandId, offset, affected, clock.instant(), permitValidity));
  }

  /**
   * Starts to track an accepted command that created an object. No earlier permit can contradict
   * it, so it is in force as soon as the owners have applied it.
   *
   * @param commandId identity of the command
   * @param offset offset of its record, which this node has applied
   * @param affected shards whose owners must confirm
   */
  public void trackCreation(String commandId, long offset, Set<ShardId> affected) {
    track(new Progress(commandId, offset, affected, clock.instant(), Duration.ZERO));
  }

  private void track(Progress progress) {
    commands.putIfAbsent(progress.commandId, progress);
    if (commands.size() > MAXIMUM_COMMANDS) {
      commands.remove(commands.keySet().iterator().next());
    }
    updateConfirmations();
  }

  /**
   * Follows a change of the control state. Must be called after each applied record and each loaded
   * snapshot.
   *
   * @param state control state of this node
   */
  public void onStateApplied(ControlState state) {
    nextOffset = state.nextOffset();
    if (state.owners() != owners) {
      owners = state.owners();
    }
    if (state.membership() != membership) {
      membership = state.membership();
      statuses.keySet().removeIf(run -> membership.find(run).isEmpty());
    }
    updateConfirmations();
  }

  /**
   * Records the status of a run, from a ping, an answer to one, a status message or this node
   * itself. A status with a lower offset than the known one is ignored.
   *
   * @param status reported status
   */
  public void onStatus(PeerStatus status) {
    statuses.merge(
        status.run(),
        status,
        (known, received) -> received.nextOffset() < known.nextOffset() ? known : received);
    updateConfirmations();
  }

  /** Emits the events that are due. Should be called at least every 100 ms. */
  public void tick() {
    Instant now = clock.instant();
    for (Progress progress : commands.values()) {
      boolean confirmed =
          progress.confirmedAt.map(at -> !at.plus(progress.permitWait).isAfter(now)).orElse(false);
      if (confirmed && !progress.inForce) {
        progress.inForce = true;
        events.add(new InForceEvent.InForce(progress.commandId, progress.offset));
      }
      boolean late = !progress.recordedAt.plus(ANSWER_AFTER).isAfter(now);
      if (late && !progress.inForce && !progress.waitingReported) {
        progress.waitingReported = true;
        events.add(waiting(progress));
      }
    }
  }

  private void updateConfirmations() {
    Instant now = clock.instant();
    for (Progress progress : commands.values()) {
      if (progress.confirmedAt.isEmpty()) {
        progress.unconfirmedShards.removeIf(shard -> isConfirmed(shard, progress.offset));
        if (progress.unconfirmedShards.isEmpty()) {
          progress.confirmedAt = Optional.of(now);
        }
      }
    }
  }

  /**
   * Tells whether the owner of a shard has confirmed the record at an offset. Its status counts
   * only if this node has applied all records that the owner had applied: otherwise the owner may
   * have lost the shard by a record that this node has not read yet.
   */
  private boolean isConfirmed(ShardId shard, long offset) {
    Optional<ShardOwner> owner = owners.of(shard);
    PeerStatus status = owner.isPresent() ? statuses.get(owner.get().run()) : null;
    return status != null
        && status.settled()
        && !status.leaving()
        && status.nextOffset() > Math.max(offset, owner.get().epoch())
        && status.nextOffset() <= nextOffset;
  }

  /**
   * Returns the runs that must be asked for their status.
   *
   * @return owners that have not confirmed at least one tracked command
   */
  public Set<RunId> unconfirmedOwners() {
    return commands.values().stream()
        .flatMap(progress -> progress.unconfirmedShards.stream())
        .flatMap(shard -> owners.of(shard).stream())
        .map(ShardOwner::run)
        .collect(Collectors.toSet());
  }

  /**
   * Returns the current progress of a command.
   *
   * @param commandId identity of the command
   * @return progress, or empty if the command is not tracked
   */
  public Optional<InForceEvent> progress(String commandId) {
    return Optional.ofNullable(commands.get(commandId))
        .map(
            progress ->
                progress.inForce
                    ? new InForceEvent.InForce(commandId, progress.offset)
                    : waiting(progress));
  }

  private InForceEvent waiting(Progress progress) {
    Set<NodeName> missing = new TreeSet<>();
    Set<ShardId> withoutOwner = new TreeSet<>();
    for (ShardId shard : progress.unconfirmedShards) {
      owners
          .of(shard)
          .ifPresentOrElse(owner -> missing.add(owner.run().node()), () -> withoutOwner.add(shard));
    }
    return new InForceEvent.Waiting(progress.commandId, progress.offset, missing, withoutOwner);
  }

  /**
   * Returns and clears the events since the last call.
   *
   * @return events in the order in which they occurred
   */
  public List<InForceEvent> drain() {
    List<InForceEvent> drained = List.copyOf(events);
    events.clear();
    return drained;
  }
}
