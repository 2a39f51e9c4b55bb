package org.cactusseam.logic.membership;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.ExpelReason;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.MemberState;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.ShardOwner;

/**
 * Membership, failure detection and the lease of one node. It decides which shards the node owns
 * and whether it may grant permits now; the daemon does the input and output.
 *
 * <p>Not thread-safe; owned by the control thread. The clock must never go back.
 */
public final class MembershipCoordinator {

  /**
   * Delay per rank of an append that several nodes could make. With the bound on the rank it stays
   * below the 500 ms that detection and takeover leave of the 7 s for an order.
   */
  private static final Duration DELAY_PER_RANK = Duration.ofMillis(100);

  private static final int MAXIMUM_RANK = 3;
  private static final Duration MAXIMUM_REJOIN_DELAY = Duration.ofSeconds(30);
  private static final Duration FETCH_INTERVAL = Duration.ofMillis(250);

  private final MembershipSettings settings;
  private final Clock clock;
  private final PeerTable peers;
  private final OwnershipPeriods periods;
  private final List<MembershipAction> actions = new ArrayList<>();
  private final Map<ControlRecord, Instant> appends = new HashMap<>();
  private final Map<ShardId, Handover> handovers = new TreeMap<>();
  private Member self;
  private Membership membership = Membership.EMPTY;
  private List<RunId> regionRuns = List.of();
  private Optional<Membership.Entry> own = Optional.empty();
  private Optional<String> knownBoot = Optional.empty();
  private long nextOffset;
  private boolean loaded;
  private boolean leaving;
  private boolean logFailed = true;
  private Optional<Instant> logReadAt = Optional.empty();
  private Optional<Instant> fetchedAt = Optional.empty();
  private Optional<Instant> handoversSentAt = Optional.empty();
  private Instant rejoinAt;
  private Duration rejoinDelay;

  /**
   * Creates the coordinator of a starting node.
   *
   * @param self description of the run; see {@link #self()}
   * @param settings times and bounds
   * @param clock clock that never goes back
   */
  public MembershipCoordinator(Member self, MembershipSettings settings, Clock clock) {
    this.self = self;
    this.settings = settings;
    this.clock = clock;
    peers = new PeerTable(settings);
    periods = new OwnershipPeriods(settings);
    rejoinAt = clock.instant();
    rejoinDelay = settings.appendRetryInterval();
  }

  /**
   * Notes a change of the control state. It must be called after each applied record and each
   * loaded snapshot; if records were skipped, the node waits longer before it takes shards over.
   *
   * @param state state of this node
   */
  public void onStateApplied(ControlState state) {
    if (loaded && state.nextOffset() == nextOffset) {
      return;
    }
    Instant now = clock.instant();
    boolean skipped = !loaded || state.nextOffset() != nextOffset + 1;
    boolean membershipChanged = state.membership() != membership;
    loaded = true;
    nextOffset = state.nextOffset();
    membership = state.membership();
    knownBoot = state.newestBoot(self.node());
    // Read before the table forgets runs that left. Only a change of members takes a shard away.
    Set<RunId> ended = membershipChanged ? peers.provenEnded() : Set.of();
    if (membershipChanged) {
      own = membership.find(run());
      regionRuns =
          membership.inRegion(self.region()).stream().map(Membership.Entry::run).sorted().toList();
      peers.membershipChanged(membership, now);
      appends.keySet().removeIf(record -> !isPending(record));
    }
    peers.caughtUp(nextOffset);
    Set<ShardId> startedBefore = Set.copyOf(periods.started().keySet());
    periods.changed(state.owners(), skipped, ended, run(), now);
    updateOwnershipPeriods(now);
    startedBefore.stream()
        .filter(shard -> !periods.owned().containsKey(shard))
        .sorted()
        .forEach(this::handOverToNewOwner);
  }

  /** Saves the new owner the wait; if the message is lost, it waits. */
  private void handOverToNewOwner(ShardId shard) {
    Optional<ShardOwner> owner = periods.ownerByLog(shard);
    if (owner.isPresent()) {
      RunId to = owner.get().run();
      Handover handover = new Handover(shard, to, owner.get().epoch(), run(), to, Set.of());
      actions.add(new MembershipAction.SendHandover(handover));
    }
  }

  /**
   * Notes a read of the control log. All records that it returned must have been applied.
   *
   * @param sentAt time when the read was sent
   * @param current whether it reached the end of the log
   */
  public void onLogRead(Instant sentAt, boolean current) {
    logFailed = false;
    if (current) {
      logReadAt = PeerTable.later(logReadAt, Optional.of(sentAt));
    }
  }

  /** Notes a failed read of the control log. Appends wait until a read succeeds. */
  public void onLogReadFailed() {
    logFailed = true;
  }

  /**
   * Notes the answer to a ping, which also relays the freshness of the peer's view.
   *
   * @param sequence number of the ping
   * @param status statement of the answering run
   */
  public void onPong(long sequence, PeerStatus status) {
    Instant now = clock.instant();
    boolean behind = peers.pongReceived(sequence, status, nextOffset, now);
    boolean fetchDue = fetchedAt.map(at -> !at.plus(FETCH_INTERVAL).isAfter(now)).orElse(true);
    if (behind && fetchDue && !isFresh(logReadAt, settings.lease().dividedBy(2), now)) {
      fetchedAt = Optional.of(now);
      actions.add(new MembershipAction.FetchRecords(status.run(), nextOffset));
    }
  }

  /**
   * Notes that an address refused a connection.
   *
   * @param node node that listens on the address while it runs
   * @param attemptedAt time when the attempt started
   */
  public void onConnectionRefused(NodeName node, Instant attemptedAt) {
    Instant now = clock.instant();
    peers.connectionRefused(node, attemptedAt, now);
    periods.ended(run -> run.node().equals(node), attemptedAt, now);
  }

  /**
   * Notes the boot identity that a node stated on a new connection.
   *
   * @param run run that answered
   */
  public void onBootIdSeen(RunId run) {
    Instant now = clock.instant();
    peers.onBootIdSeen(run, now);
    periods.ended(
        known -> known.node().equals(run.node()) && known.boot().compareTo(run.boot()) < 0,
        now,
        now);
  }

  /**
   * Notes an answer of the VM list.
   *
   * @param shown nodes of the VMs that it shows
   * @param asOf time when the list was asked, less the age that the answer states for itself
   */
  public void onVmListRead(Set<NodeName> shown, Instant asOf) {
    peers.listRead(shown, asOf, clock.instant());
  }

  /**
   * Notes a handover from a leaving run. It is ignored if it is not meant for this run, or if this
   * run cannot own shards any more.
   *
   * @param handover handover
   */
  public void onHandover(Handover handover) {
    if (leaving || !handover.to().equals(run())) {
      return;
    }
    if (handover.followsRecord()) {
      periods.releasedByRecord(handover);
      updateOwnershipPeriods(clock.instant());
      return;
    }
    if (!isActive()) {
      return;
    }
    periods.handoverReceived(handover, run());
    actions.add(new MembershipAction.AcknowledgeHandover(handover));
    updateOwnershipPeriods(clock.instant());
  }

  /**
   * Notes that a successor accepted a handover of this run.
   *
   * @param handover handover
   */
  public void onHandoverAcknowledged(Handover handover) {
    handovers.remove(handover.shard(), handover);
  }

  /** Stops granting and hands all shards over. The node answers pings until it exits. */
  public void leave() {
    if (leaving) {
      return;
    }
    Instant now = clock.instant();
    Set<ShardId> settled = Set.copyOf(periods.started().keySet());
    leaving = true;
    for (ShardId shard : settled) {
      successor(shard).ifPresent(to -> handovers.put(shard, handover(shard, to)));
    }
    updateOwnershipPeriods(now);
    tick();
  }

  private Handover handover(ShardId shard, RunId to) {
    ShardOwner owner = periods.ownerByLog(shard).orElseThrow();
    Set<RunId> released = periods.releasedBy(shard, run());
    return new Handover(shard, owner.run(), owner.epoch(), run(), to, released);
  }

  private Optional<RunId> successor(ShardId shard) {
    return membership.inRegion(self.region()).stream()
        .filter(Membership.Entry::active)
        .map(Membership.Entry::run)
        .filter(run -> !run.equals(run()) && !peers.isEnded(run) && !peers.isLeaving(run))
        .max(
            Comparator.comparingLong((RunId run) -> OwnerSelection.weight(shard, run.node()))
                .thenComparing(Comparator.naturalOrder()));
  }

  /** Does what is due. It should be called at least every 100 ms. */
  public void tick() {
    Instant now = clock.instant();
    updateOwnershipPeriods(now);
    peers.prune(now);
    sendPings(now);
    if (leaving) {
      sendHandovers(now);
    }
    if (loaded && isLogUp(now)) {
      appendOwnRecords(now);
      expelOthers(now);
    }
  }

  private void updateOwnershipPeriods(Instant now) {
    boolean mayOwn = !leaving && isActive();
    List<ShardId> lost =
        periods.started().keySet().stream()
            .filter(shard -> !mayOwn || !periods.isStarted(shard))
            .toList();
    for (ShardId shard : lost) {
      periods.started().remove(shard);
      actions.add(new MembershipAction.StopOwning(shard));
    }
    if (mayOwn) {
      periods.owned().entrySet().stream()
          .sorted(Map.Entry.comparingByKey())
          .filter(entry -> !periods.isStarted(entry.getKey()))
          .filter(entry -> periods.isClear(entry.getKey(), now))
          .forEach(entry -> start(entry.getKey(), entry.getValue()));
    }
  }

  private void start(ShardId shard, long epoch) {
    periods.started().put(shard, epoch);
    actions.add(new MembershipAction.BecomeOwner(shard, epoch));
  }

  private void sendPings(Instant now) {
    for (RunId run : pinged(now)) {
      if (peers.isPingDue(run, now)) {
        actions.add(new MembershipAction.SendPing(run, peers.pingSent(run, now)));
      }
    }
  }

  /**
   * In a small region all members. In a large one a joining node pings all, and so does an owner
   * that cannot read the log, because it needs their answers; others ping the next members in name
   * order up to a number of responsive ones.
   */
  private List<RunId> pinged(Instant now) {
    RunId thisRun = run();
    List<RunId> others = regionRuns.stream().filter(run -> !run.equals(thisRun)).toList();
    boolean needsAll =
        others.size() < settings.fullMeshMaxMembers()
            || standing().equals(Optional.of(MemberState.JOINED))
            || (!periods.owned().isEmpty()
                && !isFresh(logReadAt, settings.lease().dividedBy(2), now));
    return needsAll ? others : monitored(others, now);
  }

  private List<RunId> monitored(List<RunId> sorted, Instant now) {
    int first = (int) sorted.stream().filter(run -> run.compareTo(run()) < 0).count();
    List<RunId> chosen = new ArrayList<>();
    int responsive = 0;
    for (int step = 0; step < sorted.size(); step++) {
      if (responsive >= settings.monitoredMembers()) {
        break;
      }
      RunId run = sorted.get((first + step) % sorted.size());
      chosen.add(run);
      responsive +=
          peers.isSilent(run, settings.failureDetectionTimeout().dividedBy(2), now) ? 0 : 1;
    }
    return chosen;
  }

  private void sendHandovers(Instant now) {
    for (Map.Entry<ShardId, Handover> entry : handovers.entrySet()) {
      // Another successor may be named only if the first one is certainly gone.
      if (peers.isEnded(entry.getValue().to())) {
        successor(entry.getKey()).ifPresent(to -> entry.setValue(handover(entry.getKey(), to)));
      }
    }
    if (handoversSentAt.map(at -> at.plus(settings.pingInterval()).isAfter(now)).orElse(false)) {
      return;
    }
    handoversSentAt = Optional.of(now);
    handovers.values().forEach(sent -> actions.add(new MembershipAction.SendHandover(sent)));
  }

  private void appendOwnRecords(Instant now) {
    if (leaving) {
      own.ifPresent(entry -> append(new ControlRecord.Leave(self.node(), self.boot()), now));
      return;
    }
    if (own.isPresent() && own.get().standing() == MemberState.ACTIVE) {
      rejoinDelay = settings.appendRetryInterval();
    } else if (own.isPresent() && own.get().standing() == MemberState.JOINED) {
      activate(own.get(), now);
    } else if (!now.isBefore(rejoinAt)) {
      join(now);
    }
  }

  private void activate(Membership.Entry joined, Instant now) {
    boolean acknowledged =
        membership.inRegion(self.region()).stream()
            .filter(Membership.Entry::mayActAsOwner)
            .allMatch(entry -> peers.hasAcknowledged(entry.run(), joined.joinedAt()));
    if (acknowledged) {
      append(new ControlRecord.Activate(self.node(), self.boot()), now);
    }
  }

  /** A run that was removed from the view comes back as a later run. */
  private void join(Instant now) {
    if (knownBoot.map(boot -> boot.compareTo(self.boot()) >= 0).orElse(false)) {
      self = self.withBoot(BootIds.after(knownBoot.orElseThrow()));
      own = Optional.empty();
      rejoinAt = now.plus(rejoinDelay);
      Duration doubled = rejoinDelay.multipliedBy(2);
      rejoinDelay = doubled.compareTo(MAXIMUM_REJOIN_DELAY) > 0 ? MAXIMUM_REJOIN_DELAY : doubled;
      periods.refresh(run());
    }
    append(new ControlRecord.Join(self), now);
  }

  private void expelOthers(Instant now) {
    Optional<MemberState> standing = standing();
    if (standing.isEmpty() || standing.get() == MemberState.SUSPENDED) {
      return;
    }
    for (Membership.Entry entry : membership.entries()) {
      if (!entry.run().equals(run())) {
        expel(entry, now);
      }
    }
  }

  private void expel(Membership.Entry entry, Instant now) {
    RunId run = entry.run();
    Optional<Instant> endedAt = peers.endedAt(run);
    boolean sameRegion = entry.member().region().equals(self.region());
    if (endedAt.isPresent()) {
      if (!endedAt.get().plus(rankDelay(run)).isAfter(now)) {
        append(expulsion(run, ExpelReason.GONE), now);
      }
    } else if (sameRegion
        && isActive()
        && entry.standing() != MemberState.SUSPENDED
        && peers.isSilent(run, settings.failureDetectionTimeout(), now)
        && peers.isSilent(run, settings.failureDetectionTimeout().plus(rankDelay(run)), now)) {
      append(expulsion(run, ExpelReason.UNREACHABLE), now);
    }
  }

  private ControlRecord expulsion(RunId run, ExpelReason reason) {
    return new ControlRecord.Expel(run.node(), run.boot(), self.node(), reason);
  }

  private Duration rankDelay(RunId subject) {
    List<NodeName> able =
        membership.entries().stream()
            .filter(Membership.Entry::active)
            .map(Membership.Entry::run)
            .filter(run -> !run.equals(subject) && !peers.isEnded(run))
            .map(RunId::node)
            .toList();
    int rank = OwnerSelection.rank(subject.toString(), self.node(), able);
    return DELAY_PER_RANK.multipliedBy(Math.min(rank, MAXIMUM_RANK));
  }

  private void append(ControlRecord record, Instant now) {
    Instant last = appends.get(record);
    if (last == null || !last.plus(settings.appendRetryInterval()).isAfter(now)) {
      appends.put(record, now);
      actions.add(new MembershipAction.Append(record));
    }
  }

  private boolean isPending(ControlRecord record) {
    return switch (record) {
      case ControlRecord.Expel expel ->
          membership.find(new RunId(expel.node(), expel.boot())).isPresent();
      case ControlRecord.Join join -> join.member().equals(self);
      default -> true;
    };
  }

  private boolean isLogUp(Instant now) {
    return !logFailed && isFresh(logReadAt, settings.lease(), now);
  }

  private static boolean isFresh(Optional<Instant> at, Duration age, Instant now) {
    return at.map(time -> time.plus(age).isAfter(now)).orElse(false);
  }

  private Optional<MemberState> standing() {
    return own.map(Membership.Entry::standing);
  }

  private boolean isActive() {
    return standing().equals(Optional.of(MemberState.ACTIVE));
  }

  private RunId run() {
    return RunId.of(self);
  }

  /**
   * Tells whether this node may grant permits of a shard now. The answer must be used at once.
   *
   * @param shard shard
   * @return true while the node has taken the shard over and its lease is valid
   */
  public boolean mayGrant(ShardId shard) {
    Instant now = clock.instant();
    return !leaving && isActive() && periods.isStarted(shard) && hasLease(shard, now);
  }

  /**
   * Condition (b) is not enough for a shard of another region: the nodes that may take it over are
   * members of that region, which need no acknowledgement from here when they join.
   */
  private boolean hasLease(ShardId shard, Instant now) {
    Optional<Instant> readAt = PeerTable.later(logReadAt, peers.relayedReadAt());
    return isFresh(readAt, settings.lease(), now)
        || (shard.region().equals(self.region()) && isVouchedFor(now));
  }

  /**
   * Joined members count as well: the log may have activated them without this node's knowledge.
   */
  private boolean isVouchedFor(Instant now) {
    Instant limit = now.minus(settings.lease());
    return membership.inRegion(self.region()).stream()
        .filter(entry -> entry.standing() != MemberState.SUSPENDED)
        .map(Membership.Entry::run)
        .filter(run -> !run.equals(run()))
        .allMatch(run -> peers.isEnded(run) || peers.vouchedSince(run, limit));
  }

  /**
   * Returns what this node states in its answer to a ping.
   *
   * @return current statement
   */
  public PeerStatus status() {
    Instant now = clock.instant();
    Optional<Instant> readAt = PeerTable.later(logReadAt, peers.relayedReadAt());
    OptionalLong age =
        readAt.isPresent()
            ? OptionalLong.of(Duration.between(readAt.get(), now).toMillis() + 1)
            : OptionalLong.empty();
    boolean settled = !leaving && periods.isSettled();
    return new PeerStatus(run(), nextOffset, age, settled, leaving);
  }

  /**
   * Returns the description of the current run. It changes when the node comes back after it was
   * removed from the view; the daemon then greets its peers with the new boot identity.
   *
   * @return current run
   */
  public Member self() {
    return self;
  }

  /**
   * Tells whether the shutdown may proceed.
   *
   * @return true if the node left the view and all handovers are acknowledged
   */
  public boolean hasLeft() {
    return leaving && handovers.isEmpty() && own.isEmpty();
  }

  /**
   * Counts the shards that a successor has not accepted yet.
   *
   * @return shards
   */
  public int pendingHandovers() {
    return handovers.size();
  }

  /**
   * Returns the actions since the last call, in order.
   *
   * @return actions
   */
  public List<MembershipAction> drain() {
    List<MembershipAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
