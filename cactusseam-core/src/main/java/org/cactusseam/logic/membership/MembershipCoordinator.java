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
 * Membership, failure detection and lease of one node (a run of an entry daemon). Decides which
 * shards the node owns and whether it may grant permits at the moment; the daemon performs the
 * input and output that it requests as {@link MembershipAction}s.
 *
 * <p>Not thread-safe; owned by the control thread. The clock must be monotonic.
 */
public final class MembershipCoordinator {

  /**
   * Delay per rank of an append that several nodes could make, so that usually one node appends it.
   * With the bound on the rank, the delay stays below the 500 ms that failure detection and
   * takeover leave of the 7 s in which an operator's command is answered.
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
  private Optional<Membership.Entry> ownEntry = Optional.empty();
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
   * @param self description of the starting run; rejoins replace it, see {@link #self()}
   * @param settings durations and bounds of membership and leases
   * @param clock monotonic clock; its origin need not agree with that of other nodes
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
   * Follows a change of the control state. Must be called after each applied record and each loaded
   * snapshot. If records were skipped, the node waits for the full takeover wait before it takes
   * shards over, because it does not know their earlier owners.
   *
   * @param state control state of this node
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
    knownBoot = state.newestBootId(self.node());
    // Must be read before the table removes runs that left. Only a membership change moves a shard.
    Set<RunId> ended = membershipChanged ? peers.provenEnded() : Set.of();
    if (membershipChanged) {
      ownEntry = membership.find(run());
      regionRuns =
          membership.inRegion(self.region()).stream().map(Membership.Entry::run).sorted().toList();
      peers.onMembershipChanged(membership, now);
      appends.keySet().removeIf(record -> !isPending(record));
    }
    peers.onRecordsApplied(nextOffset);
    Set<ShardId> takenOverBefore = Set.copyOf(periods.takenOver().keySet());
    periods.onOwnersChanged(state.owners(), skipped, ended, run(), now);
    updateOwnedShards(now);
    takenOverBefore.stream()
        .filter(shard -> !periods.owned().containsKey(shard))
        .sorted()
        .forEach(this::handOverToNewOwner);
  }

  /**
   * Tells the new owner of a shard that this node has stopped granting, so that it need not wait
   * for the lease of this node to expire. If the message is lost, the new owner waits.
   */
  private void handOverToNewOwner(ShardId shard) {
    Optional<ShardOwner> owner = periods.ownerByLog(shard);
    if (owner.isPresent()) {
      RunId to = owner.get().run();
      Handover handover = new Handover(shard, to, owner.get().epoch(), run(), to, Set.of());
      actions.add(new MembershipAction.SendHandover(handover));
    }
  }

  /**
   * Renews the lease after a read of the control log. All records that the read returned must have
   * been applied before.
   *
   * @param sentAt time when the read was sent, on the clock of this coordinator
   * @param current whether the read reached the end of the log; only such a read renews the lease
   */
  public void onLogRead(Instant sentAt, boolean current) {
    logFailed = false;
    if (current) {
      logReadAt = PeerTable.later(logReadAt, Optional.of(sentAt));
    }
  }

  /** Suspends appends after a failed read of the control log, until a read succeeds. */
  public void onLogReadFailed() {
    logFailed = true;
  }

  /**
   * Handles the answer to a ping. It also states how recently the peer's view was confirmed by a
   * read of the log, which can renew the lease of this node, and may show that this node lags
   * behind the peer; then the missing records are fetched unless this node reads the log itself.
   *
   * @param sequence number of the answered ping
   * @param status status that the answering run reports
   */
  public void onPong(long sequence, PeerStatus status) {
    Instant now = clock.instant();
    boolean behind = peers.onPong(sequence, status, nextOffset, now);
    boolean fetchDue = fetchedAt.map(at -> !at.plus(FETCH_INTERVAL).isAfter(now)).orElse(true);
    if (behind && fetchDue && !isFresh(logReadAt, settings.lease().dividedBy(2), now)) {
      fetchedAt = Optional.of(now);
      actions.add(new MembershipAction.FetchRecords(status.run(), nextOffset));
    }
  }

  /**
   * Handles a refused connection. It proves the end of the runs of the node that were known before
   * the attempt.
   *
   * @param node entry daemon that listens on the address while it runs
   * @param attemptedAt time when the attempt started
   */
  public void onConnectionRefused(NodeName node, Instant attemptedAt) {
    Instant now = clock.instant();
    peers.onConnectionRefused(node, attemptedAt, now);
    periods.onRunsEnded(run -> run.node().equals(node), attemptedAt, now);
  }

  /**
   * Handles the boot identity that a node reports on a new connection. A later identity proves the
   * end of the earlier runs of the node.
   *
   * @param run run at the other end of the connection
   */
  public void onBootIdSeen(RunId run) {
    Instant now = clock.instant();
    peers.onBootIdSeen(run, now);
    periods.onRunsEnded(
        known -> known.node().equals(run.node()) && known.boot().compareTo(run.boot()) < 0,
        now,
        now);
  }

  /**
   * Handles a read of the VM list. A run is taken as ended when the list has not shown its VM for
   * the greatest lag of the list.
   *
   * @param shown entry daemons on the VMs in the list
   * @param asOf time when the request was sent, minus the age that the response reports
   */
  public void onVmListRead(Set<NodeName> shown, Instant asOf) {
    peers.onVmListRead(shown, asOf, clock.instant());
  }

  /**
   * Handles a handover, either of a run that is leaving or of one that lost the shard by a record.
   * It is ignored if it is addressed to another run or if this run can no longer own shards.
   *
   * @param handover received handover
   */
  public void onHandover(Handover handover) {
    if (leaving || !handover.to().equals(run())) {
      return;
    }
    if (handover.followsRecord()) {
      periods.onReleasedByRecord(handover);
      updateOwnedShards(clock.instant());
      return;
    }
    if (!isActive()) {
      return;
    }
    periods.onHandover(handover, run());
    actions.add(new MembershipAction.AcknowledgeHandover(handover));
    updateOwnedShards(clock.instant());
  }

  /**
   * Handles the acknowledgement of a handover of this run.
   *
   * @param handover handover that the successor accepted
   */
  public void onHandoverAcknowledged(Handover handover) {
    handovers.remove(handover.shard(), handover);
  }

  /** Stops granting and starts to hand over all shards. The node answers pings until it exits. */
  public void leave() {
    if (leaving) {
      return;
    }
    Instant now = clock.instant();
    Set<ShardId> settled = Set.copyOf(periods.takenOver().keySet());
    leaving = true;
    for (ShardId shard : settled) {
      successor(shard).ifPresent(to -> handovers.put(shard, handover(shard, to)));
    }
    updateOwnedShards(now);
    tick();
  }

  private Handover handover(ShardId shard, RunId to) {
    ShardOwner owner = periods.ownerByLog(shard).orElseThrow();
    Set<RunId> released = periods.releasedRuns(shard, run());
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

  /**
   * Performs what is due: takeovers, pings, handovers and appends. Should be called at least every
   * 100 ms.
   */
  public void tick() {
    Instant now = clock.instant();
    updateOwnedShards(now);
    peers.prune(now);
    sendPings(now);
    if (leaving) {
      sendHandovers(now);
    }
    if (loaded && isLogAvailable(now)) {
      appendOwnRecords(now);
      expelOthers(now);
    }
  }

  private void updateOwnedShards(Instant now) {
    boolean mayOwn = !leaving && isActive();
    List<ShardId> lost =
        periods.takenOver().keySet().stream()
            .filter(shard -> !mayOwn || !periods.isTakenOver(shard))
            .toList();
    for (ShardId shard : lost) {
      periods.takenOver().remove(shard);
      actions.add(new MembershipAction.StopOwning(shard));
    }
    if (mayOwn) {
      periods.owned().entrySet().stream()
          .sorted(Map.Entry.comparingByKey())
          .filter(entry -> !periods.isTakenOver(entry.getKey()))
          .filter(entry -> periods.mayTakeOver(entry.getKey(), now))
          .forEach(entry -> takeOver(entry.getKey(), entry.getValue()));
    }
  }

  private void takeOver(ShardId shard, long epoch) {
    periods.takenOver().put(shard, epoch);
    actions.add(new MembershipAction.BecomeOwner(shard, epoch));
  }

  private void sendPings(Instant now) {
    for (RunId run : pingTargets(now)) {
      if (peers.isPingDue(run, now)) {
        actions.add(new MembershipAction.SendPing(run, peers.recordPing(run, now)));
      }
    }
  }

  /**
   * Returns the runs to ping. In a small region these are all other members. In a large region a
   * joining node pings all, and so does an owner that cannot read the log, because both need the
   * answers of all; other nodes ping the members that follow them in name order until enough of
   * these respond.
   */
  private List<RunId> pingTargets(Instant now) {
    RunId thisRun = run();
    List<RunId> others = regionRuns.stream().filter(run -> !run.equals(thisRun)).toList();
    boolean needsAll =
        others.size() < settings.fullMeshMaxMembers()
            || memberState().equals(Optional.of(MemberState.JOINED))
            || (!periods.owned().isEmpty()
                && !isFresh(logReadAt, settings.lease().dividedBy(2), now));
    return needsAll ? others : monitoredRuns(others, now);
  }

  private List<RunId> monitoredRuns(List<RunId> sorted, Instant now) {
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
      // A second successor may be named only after the end of the first is proven: both would
      // grant.
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
      ownEntry.ifPresent(entry -> append(new ControlRecord.Leave(self.node(), self.boot()), now));
      return;
    }
    if (ownEntry.isPresent() && ownEntry.get().state() == MemberState.ACTIVE) {
      rejoinDelay = settings.appendRetryInterval();
    } else if (ownEntry.isPresent() && ownEntry.get().state() == MemberState.JOINED) {
      activate(ownEntry.get(), now);
    } else if (!now.isBefore(rejoinAt)) {
      join(now);
    }
  }

  private void activate(Membership.Entry joined, Instant now) {
    boolean allAcknowledged =
        membership.inRegion(self.region()).stream()
            .filter(Membership.Entry::mayActAsOwner)
            .allMatch(entry -> peers.hasAcknowledged(entry.run(), joined.joinedAt()));
    if (allAcknowledged) {
      append(new ControlRecord.Activate(self.node(), self.boot()), now);
    }
  }

  /**
   * Joins the membership. A run that was removed from it rejoins with a later boot identity; the
   * delay between rejoins doubles up to 30 s.
   */
  private void join(Instant now) {
    if (knownBoot.map(boot -> boot.compareTo(self.boot()) >= 0).orElse(false)) {
      self = self.withBoot(BootIds.nextAfter(knownBoot.orElseThrow()));
      ownEntry = Optional.empty();
      rejoinAt = now.plus(rejoinDelay);
      Duration doubled = rejoinDelay.multipliedBy(2);
      rejoinDelay = doubled.compareTo(MAXIMUM_REJOIN_DELAY) > 0 ? MAXIMUM_REJOIN_DELAY : doubled;
      periods.recomputeOwned(run());
    }
    append(new ControlRecord.Join(self), now);
  }

  private void expelOthers(Instant now) {
    Optional<MemberState> state = memberState();
    if (state.isEmpty() || state.get() == MemberState.SUSPENDED) {
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
        append(expelRecord(run, ExpelReason.GONE), now);
      }
    } else if (sameRegion
        && isActive()
        && entry.state() != MemberState.SUSPENDED
        && peers.isSilent(run, settings.failureDetectionTimeout(), now)
        && peers.isSilent(run, settings.failureDetectionTimeout().plus(rankDelay(run)), now)) {
      append(expelRecord(run, ExpelReason.UNREACHABLE), now);
    }
  }

  private ControlRecord expelRecord(RunId run, ExpelReason reason) {
    return new ControlRecord.Expel(run.node(), run.boot(), self.node(), reason);
  }

  private Duration rankDelay(RunId subject) {
    List<NodeName> eligible =
        membership.entries().stream()
            .filter(Membership.Entry::active)
            .map(Membership.Entry::run)
            .filter(run -> !run.equals(subject) && !peers.isEnded(run))
            .map(RunId::node)
            .toList();
    int rank = OwnerSelection.rank(subject.toString(), self.node(), eligible);
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

  private boolean isLogAvailable(Instant now) {
    return !logFailed && isFresh(logReadAt, settings.lease(), now);
  }

  private static boolean isFresh(Optional<Instant> at, Duration age, Instant now) {
    return at.map(time -> time.plus(age).isAfter(now)).orElse(false);
  }

  private Optional<MemberState> memberState() {
    return ownEntry.map(Membership.Entry::state);
  }

  private boolean isActive() {
    return memberState().equals(Optional.of(MemberState.ACTIVE));
  }

  private RunId run() {
    return RunId.of(self);
  }

  /**
   * Tells whether this node may grant permits of a shard at the moment. The result must be used at
   * once, because the lease may expire.
   *
   * @param shard admission shard
   * @return true while the node is active, has taken the shard over and holds a valid lease
   */
  public boolean mayGrant(ShardId shard) {
    Instant now = clock.instant();
    return !leaving && isActive() && periods.isTakenOver(shard) && hasLease(shard, now);
  }

  /**
   * The lease is valid after a recent read of the log, by this node or relayed by a peer. Without
   * one it is also valid if all members of the region have answered recently, but only for shards
   * of this region: a shard of another region may be taken over by members of that region, which
   * need no acknowledgement of this node when they join.
   */
  private boolean hasLease(ShardId shard, Instant now) {
    Optional<Instant> readAt = PeerTable.later(logReadAt, peers.relayedReadAt());
    return isFresh(readAt, settings.lease(), now)
        || (shard.region().equals(self.region()) && isConfirmedByRegion(now));
  }

  /**
   * Tells whether every member of the region has ended or has confirmed the view of this node
   * within the lease duration. Joined members count as well, because the log may have activated
   * them without this node's knowledge.
   */
  private boolean isConfirmedByRegion(Instant now) {
    Instant limit = now.minus(settings.lease());
    return membership.inRegion(self.region()).stream()
        .filter(entry -> entry.state() != MemberState.SUSPENDED)
        .map(Membership.Entry::run)
        .filter(run -> !run.equals(run()))
        .allMatch(run -> peers.isEnded(run) || peers.hasConfirmedSince(run, limit));
  }

  /**
   * Returns the status that this node reports in its answers to pings.
   *
   * @return current status
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
   * Returns the description of the current run. It changes when the node rejoins after it was
   * expelled; the daemon must then introduce itself to its peers with the new boot identity.
   *
   * @return description of the current run
   */
  public Member self() {
    return self;
  }

  /**
   * Tells whether the process may exit after {@link #leave}.
   *
   * @return true if the log no longer lists the node as a member and all handovers are acknowledged
   */
  public boolean hasLeft() {
    return leaving && handovers.isEmpty() && ownEntry.isEmpty();
  }

  /**
   * Counts the shards whose handover is not acknowledged yet.
   *
   * @return number of shards
   */
  public int pendingHandovers() {
    return handovers.size();
  }

  /**
   * Returns and clears the actions that were requested since the last call.
   *
   * @return actions in the order in which they must be performed
   */
  public List<MembershipAction> drain() {
    List<MembershipAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
