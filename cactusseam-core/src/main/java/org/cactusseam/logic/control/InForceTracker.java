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
 * Decides when a recorded command is in force: when for each affected shard an owner of a view that
 * contains the record has applied it and has taken the shard over from all earlier owners, plus the
 * validity of the permits that it granted before. Later owners have applied the record by
 * construction. An owner that has applied the record but still waits for its predecessor does not
 * count, because the predecessor may still grant without it.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class InForceTracker {

  /** Time after which the operator gets an answer in any case. */
  public static final Duration ANSWER_AFTER = Duration.ofSeconds(7);

  /** Bound on remembered commands; more than a day of them at the target scale. */
  private static final int MAXIMUM_COMMANDS = 10_000;

  private static final class Progress {
    private final String commandId;
    private final long offset;
    private final Instant recordedAt;
    private final Duration permitsEnd;
    private final Set<ShardId> open;
    private Optional<Instant> confirmedAt = Optional.empty();
    private boolean inForce;
    private boolean answered;

    private Progress(
        String commandId, long offset, Set<ShardId> affected, Instant now, Duration permitsEnd) {
      this.permitsEnd = permitsEnd;
      this.commandId = commandId;
      this.offset = offset;
      this.recordedAt = now;
      this.open = new TreeSet<>(affected);
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
   * @param clock clock that never goes back
   * @param permitValidity how long a granted permit may be used
   */
  public InForceTracker(Clock clock, Duration permitValidity) {
    this.clock = clock;
    this.permitValidity = permitValidity;
  }

  /**
   * Returns the shards whose owners must confirm a change: those of the failure domain or backend
   * server before and after it, or all if it is about something else.
   *
   * @param key changed object
   * @param before configuration before the change
   * @param after configuration after the change
   * @param owners owners of all shards
   * @return affected shards
   */
  public static Set<ShardId> affected(
      ObjectKey key, Configuration before, Configuration after, ShardOwners owners) {
    return switch (key.kind()) {
      case FAILURE_DOMAIN -> union(shardsOfDomain(key, before), shardsOfDomain(key, after));
      case BACKEND_SERVER -> union(shardOfServer(key, before), shardOfServer(key, after));
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
   * Starts to follow an accepted command. A daemon that is asked about a command that it has not
   * followed may call this later with all shards; the answer is then the same or later.
   *
   * @param commandId identity of the command
   * @param offset offset of its record, which this node has applied
   * @param affected shards whose owners must confirm
   */
  public void trackCommand(String commandId, long offset, Set<ShardId> affected) {
    follow(new Progress(commandId, offset, affected, clock.instant(), permitValidity));
  }

  /**
   * Starts to follow an accepted command that created an object. No permit can contradict it, so it
   * is in force as soon as the owners have applied it.
   *
   * @param commandId identity of the command
   * @param offset offset of its record, which this node has applied
   * @param affected shards whose owners must confirm
   */
  public void trackCreation(String commandId, long offset, Set<ShardId> affected) {
    follow(new Progress(commandId, offset, affected, clock.instant(), Duration.ZERO));
  }

  private void follow(Progress progress) {
    commands.putIfAbsent(progress.commandId, progress);
    if (commands.size() > MAXIMUM_COMMANDS) {
      commands.remove(commands.keySet().iterator().next());
    }
    check();
  }

  /**
   * Notes that this node applied a record.
   *
   * @param state state of this node
   */
  public void applied(ControlState state) {
    nextOffset = state.nextOffset();
    if (state.owners() != owners) {
      owners = state.owners();
    }
    if (state.membership() != membership) {
      membership = state.membership();
      statuses.keySet().removeIf(run -> membership.find(run).isEmpty());
    }
    check();
  }

  /**
   * Notes what a run states about itself, from a ping, an answer or this node itself.
   *
   * @param status statement
   */
  public void statusReceived(PeerStatus status) {
    statuses.merge(
        status.run(),
        status,
        (known, received) -> received.nextOffset() < known.nextOffset() ? known : received);
    check();
  }

  /** Emits what is due. It should be called at least every 100 ms. */
  public void tick() {
    Instant now = clock.instant();
    for (Progress progress : commands.values()) {
      boolean confirmed =
          progress.confirmedAt.map(at -> !at.plus(progress.permitsEnd).isAfter(now)).orElse(false);
      if (confirmed && !progress.inForce) {
        progress.inForce = true;
        events.add(new InForceEvent.InForce(progress.commandId, progress.offset));
      }
      boolean late = !progress.recordedAt.plus(ANSWER_AFTER).isAfter(now);
      if (late && !progress.inForce && !progress.answered) {
        progress.answered = true;
        events.add(waiting(progress));
      }
    }
  }

  private void check() {
    Instant now = clock.instant();
    for (Progress progress : commands.values()) {
      if (progress.confirmedAt.isEmpty()) {
        progress.open.removeIf(shard -> isConfirmed(shard, progress.offset));
        if (progress.open.isEmpty()) {
          progress.confirmedAt = Optional.of(now);
        }
      }
    }
  }

  /**
   * The statement counts only if this node has applied what the owner had applied: otherwise the
   * owner may have lost the shard in a record that this node does not know.
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
   * Returns the runs that have to be asked for their status.
   *
   * @return owners that have not confirmed some command
   */
  public Set<RunId> unconfirmedOwners() {
    return commands.values().stream()
        .flatMap(progress -> progress.open.stream())
        .flatMap(shard -> owners.of(shard).stream())
        .map(ShardOwner::run)
        .collect(Collectors.toSet());
  }

  /**
   * Returns the progress of a command.
   *
   * @param commandId identity of the command
   * @return the progress, or empty if it is not followed
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
    for (ShardId shard : progress.open) {
      owners
          .of(shard)
          .ifPresentOrElse(owner -> missing.add(owner.run().node()), () -> withoutOwner.add(shard));
    }
    return new InForceEvent.Waiting(progress.commandId, progress.offset, missing, withoutOwner);
  }

  /**
   * Returns the events since the last call, in order.
   *
   * @return events
   */
  public List<InForceEvent> drain() {
    List<InForceEvent> drained = List.copyOf(events);
    events.clear();
    return drained;
  }
}
