package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.cactusseam.edge.backend.LoadPoller;
import org.cactusseam.edge.backend.OrderClient;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.PeerListener;
import org.cactusseam.edge.peer.PeerNetwork;
import org.cactusseam.edge.platform.AppendOnlyLog;
import org.cactusseam.edge.platform.VirtualMachineList;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.control.InForceTracker;
import org.cactusseam.logic.control.ProvisionalRestrictions;
import org.cactusseam.logic.control.RecordOutcome;
import org.cactusseam.logic.membership.MembershipAction;
import org.cactusseam.logic.membership.MembershipCoordinator;
import org.cactusseam.logic.membership.MembershipSettings;
import org.cactusseam.logic.membership.OwnerSelection;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.message.RequestSummary;

/** Control state of this daemon with its input and output, all on the control thread. */
public final class ControlPlane implements PeerListener {

  private static final StructuredLog LOG = StructuredLog.of(ControlPlane.class);
  private static final long DECISION_INTERVAL_MILLIS = 100;
  private static final long INVENTORY_INTERVAL_MILLIS = 1_000;
  private static final long LOAD_INTERVAL_MILLIS = 250;
  private static final long LIST_INTERVAL_MILLIS = 1_000;
  private static final long SLOW_INTERVAL_MILLIS = 2_000;

  private final Vertx vertx;
  private final Clock clock;
  private final ControlThread thread;
  private final String boot;
  private final LoadProbes loads;
  private final PeerNetwork network;
  private final PeerDirectory directory;
  private final ControlLog log;
  private final RecordSender records;
  private final MembershipCoordinator coordinator;
  private final InForceTracker inForce;
  private final ProvisionalRestrictions restrictions = new ProvisionalRestrictions();
  private final ShardOwnership ownership;
  private final PermitRouter router;
  private final CacheEventReader cacheEvents;
  private final OwnedShards owned;
  private final ShardLoads shardLoads = new ShardLoads();
  private final LoadPublisher publisher;
  private final QuarantineService quarantine;
  private final PeerQueries queries;
  private final CommandService commands;
  private final ClaimService claims;
  private final OrderTokenService tokens;
  private final OrderService orders;
  private final PeerProcesses runs = new PeerProcesses();
  private Member self;
  private volatile RoutingView view = RoutingView.EMPTY;
  private volatile boolean ready;
  private boolean logAvailable;

  /**
   * Creates the control plane; the caller is on the control thread.
   *
   * @param vertx event loops
   * @param clock source of time
   * @param settings settings
   * @param self description of this daemon
   * @param platformLog platform's log
   * @param machines platform's list of VMs
   * @param localRequests requests that this daemon serves
   */
  public ControlPlane(
      Vertx vertx,
      Clock clock,
      Settings settings,
      Member self,
      AppendOnlyLog platformLog,
      VirtualMachineList machines,
      Supplier<List<RequestSummary>> localRequests) {
    this.vertx = vertx;
    this.clock = clock;
    this.thread = new ControlThread(vertx);
    this.self = self;
    this.boot = self.boot();
    this.network =
        new PeerNetwork(
            vertx, clock, settings.keys().cluster().bytes(), settings.deployment(), self, this);
    MembershipSettings times = CoreSettings.membership(settings);
    this.coordinator = new MembershipCoordinator(self, times, clock);
    this.directory = new PeerDirectory(clock, machines, network, coordinator);
    this.inForce = new InForceTracker(clock, times.permitValidity());
    this.log = new ControlLog(vertx, clock, platformLog, settings.platform(), new LogListener());
    this.records = new RecordSender(log, this::send);
    this.ownership = new ShardOwnership(log::state, this::ownersChanged);
    this.router =
        new PermitRouter(
            thread,
            clock,
            ownership::ownerOf,
            () -> log.state().nextOffset(),
            times.takeoverLimit(),
            this::send);
    this.quarantine =
        new QuarantineService(
            self.node(), clock, this::send, this::sendToPeers, ownership::ownersOfPool);
    this.owned =
        new OwnedShards(
            clock, CoreSettings.admission(settings), coordinator::mayGrant, this::send, quarantine);
    this.publisher = new LoadPublisher(clock, owned::loads, shardLoads, this::sendToPeers);
    LoadPoller poller = new LoadPoller(vertx);
    this.loads = new LoadProbes(clock, poller, owned, quarantine, () -> view.shards());
    this.cacheEvents = new CacheEventReader(poller, owned);
    this.queries = new PeerQueries(vertx, self.node(), network, localRequests);
    this.claims =
        new ClaimService(
            vertx, thread, clock, platformLog, settings.platform(), self, this::sendToClaimant);
    this.tokens =
        new OrderTokenService(
            clock, self.node(), times, settings.platform().weightStoreInterval(), this::send);
    this.orders =
        new OrderService(
            clock, self, tokens, new OrderClient(vertx), coordinator::mayGrant, log::append);
    this.commands =
        new CommandService(
            vertx, self.node(), log, inForce, restrictions, network, queries, this::changed);
  }

  private final class LogListener implements ControlLog.Listener {
    @Override
    public void applied(ControlRecord record, Configuration before) {
      coordinator.onStateApplied(log.state());
      if (record instanceof ControlRecord.Change change) {
        follow(change, before);
      }
      if (record instanceof OrderRecord.Issued issued) {
        commands.recorded(issued.commandId());
      }
      stateChanged();
    }

    @Override
    public void loaded() {
      coordinator.onStateApplied(log.state());
      stateChanged();
      ready = true;
    }

    @Override
    public void read(Instant sentAt, boolean current) {
      logAvailable = true;
      coordinator.onLogRead(sentAt, current);
      if (current) {
        tokens.logRead(sentAt);
      }
    }

    @Override
    public void failed() {
      logAvailable = false;
      coordinator.onLogReadFailed();
    }
  }

  private void follow(ControlRecord.Change change, Configuration before) {
    Optional<RecordOutcome> verdict = log.state().recordedOutcome(change.commandId());
    if (verdict.equals(Optional.of(RecordOutcome.ACCEPTED))) {
      String id = change.commandId();
      long offset = log.state().offsetOf(id).orElseThrow();
      Set<ShardId> affected =
          InForceTracker.affected(
              change.key(), before, log.state().configuration(), log.state().owners());
      if (before.find(change.key()).isEmpty()) {
        inForce.trackCreation(id, offset, affected);
      } else {
        inForce.trackCommand(id, offset, affected);
      }
    }
    commands.recorded(change.commandId());
  }

  private void ownersChanged() {
    router.ownersChanged();
  }

  private void stateChanged() {
    restrictions.onStateApplied(log.state());
    inForce.onStateApplied(log.state());
    orders.applied(log.state());
    claims.appendingNodes(log.state().membership().entries().size());
    ownership.changed();
    directory.connectMembers(log.state().membership());
    changed();
  }

  /** Publishes the configuration and gives it to the owned shards. */
  private void changed() {
    Configuration configuration = restrictions.effective(log.state());
    if (configuration != view.configuration()) {
      view = new RoutingView(configuration);
    }
    configureShards();
    performActions();
  }

  private void configureShards() {
    owned.configure(
        ownership.epochsOf(RunId.of(coordinator.self())), view.shards(), view.configuration());
  }

  /**
   * Starts input and output.
   *
   * @return completes when the peer port is open
   */
  public Future<Void> start() {
    return network.listen().onSuccess(listening -> startTimers());
  }

  private void startTimers() {
    log.start();
    claims.start();
    vertx.setPeriodic(DECISION_INTERVAL_MILLIS, timer -> tick());
    vertx.setPeriodic(INVENTORY_INTERVAL_MILLIS, timer -> router.sendInventories(boot));
    vertx.setPeriodic(LOAD_INTERVAL_MILLIS, timer -> pollBackendServers());
    vertx.setPeriodic(LIST_INTERVAL_MILLIS, timer -> directory.readList());
    vertx.setPeriodic(SLOW_INTERVAL_MILLIS, timer -> slowTick());
    directory.readList();
  }

  private void tick() {
    coordinator.tick();
    inForce.onStatus(coordinator.status());
    inForce.tick();
    performActions();
    owned.tick();
    loads.pollSuspected();
    orders.tick(owned.owned(), view.shards());
    router.tick();
    commands.tick();
    if (commands.isWaiting()) {
      askMissingOwners();
    }
  }

  /**
   * Only the node that answers the operator asks, so that the others do not multiply the messages.
   */
  private void askMissingOwners() {
    inForce
        .unconfirmedOwners()
        .forEach(run -> network.send(run.node(), new PeerMessage.StatusRequest()));
  }

  private void slowTick() {
    if (!log.isLoaded()) {
      network.peers().forEach(peer -> network.send(peer, new PeerMessage.RecordsRequest(-1)));
    }
    commands.appendPending();
    if (commands.hasUnfinished()) {
      askMissingOwners();
    }
    // Peers without suspicions have nothing to compare; only links without pings need traffic.
    if (quarantine.knowsSuspicions()) {
      sendToPeers(status());
    } else {
      network.sendToIdle(status());
    }
    List<NodeName> active = log.state().membership().active().stream().map(Member::node).toList();
    if (active.contains(self.node())) {
      log.snapshotIfDue(clock.millis(), OwnerSelection.rank("snapshot", self.node(), active));
    }
  }

  private void performActions() {
    List<MembershipAction> actions = coordinator.drain();
    actions.forEach(this::perform);
    boolean ownershipChanged =
        actions.stream()
            .anyMatch(
                action ->
                    action instanceof MembershipAction.BecomeOwner
                        || action instanceof MembershipAction.StopOwning);
    if (ownershipChanged) {
      configureShards();
    }
    if (!coordinator.self().equals(self)) {
      self = coordinator.self();
      network.updateSelf(self);
    }
  }

  private void perform(MembershipAction action) {
    switch (action) {
      case MembershipAction.Append append -> log.append(append.record());
      case MembershipAction.SendPing ping ->
          send(ping.to().node(), new PeerMessage.Ping(ping.sequence(), coordinator.status()));
      case MembershipAction.FetchRecords fetch ->
          send(fetch.peer().node(), new PeerMessage.RecordsRequest(fetch.fromOffset()));
      case MembershipAction.SendHandover handover ->
          send(handover.handover().to().node(), new PeerMessage.HandoverOffer(handover.handover()));
      case MembershipAction.AcknowledgeHandover accepted -> accept(accepted.handover());
      case MembershipAction.BecomeOwner owner ->
          LOG.info("shard_owned", field("shard", owner.shard()), field("epoch", owner.epoch()));
      case MembershipAction.StopOwning owner ->
          LOG.info("shard_released", field("shard", owner.shard()));
    }
  }

  private void accept(Handover handover) {
    ownership.handedOver(handover);
    send(handover.from().node(), new PeerMessage.HandoverAccepted(handover));
    for (NodeName peer : network.peers()) {
      network.send(peer, new PeerMessage.InterimOwner(handover));
    }
    configureShards();
  }

  private void pollBackendServers() {
    publisher.publish();
    loads.pollAll();
    for (ShardId shard : List.copyOf(owned.owned())) {
      cacheEvents.poll(shard, view.shards().shards().getOrDefault(shard, List.of()));
    }
  }

  private PeerMessage status() {
    return new PeerMessage.Status(coordinator.status(), quarantine.digest());
  }

  private void sendToPeers(PeerMessage message) {
    network.sendToAll(message);
  }

  private void send(NodeName node, PeerMessage message) {
    if (node.equals(self.node())) {
      // Through the event loop, so that a decision never re-enters the state that made it.
      vertx.runOnContext(ignored -> received(self, message));
    } else {
      network.send(node, message);
    }
  }

  @Override
  public void received(Member from, PeerMessage message) {
    switch (message) {
      case PeerMessage.AskPermit ask -> asked(from, ask);
      case PeerMessage.PermitDecision decided ->
          router.decided(decided.decision(), decided.round());
      case PeerMessage.ResponseStarted confirmed -> owned.confirmed(confirmed);
      case PeerMessage.AttemptEnded ended -> owned.ended(ended);
      case PeerMessage.FailureAcknowledged released -> router.released(released.attempt());
      case PeerMessage.SuspicionsUpdate news -> quarantine.news(from.node(), news.known());
      case PeerMessage.SuspicionsReply known ->
          quarantine.mergePeerState(from.node(), known.known());
      case PeerMessage.RunningAttempts inventory -> owned.inventory(from.node(), inventory);
      case PeerMessage.TransferAttempt adopt -> owned.adopt(adopt);
      case PeerMessage.Loads published -> shardLoads.published(published.loads());
      case PeerMessage.ListRequests query -> queries.answer(from.node(), query);
      case PeerMessage.RequestList reply -> queries.received(reply);
      default -> receivedMembership(from, message);
    }
  }

  private void asked(Member from, PeerMessage.AskPermit ask) {
    Optional<AdmissionDecision> refusal = StaleViewCheck.refusal(ask, log.state().configuration());
    if (refusal.isPresent()) {
      records.send(from.node(), ask.viewOffset());
      send(from.node(), new PeerMessage.PermitDecision(refusal.get(), ask.round()));
    } else {
      owned.ask(ask.request(), ask.round());
    }
  }

  private void receivedMembership(Member from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Ping ping -> {
        inForce.onStatus(ping.status());
        send(from.node(), new PeerMessage.Pong(ping.sequence(), coordinator.status()));
      }
      case PeerMessage.Pong pong -> {
        inForce.onStatus(pong.status());
        coordinator.onPong(pong.sequence(), pong.status());
      }
      case PeerMessage.StatusRequest request -> send(from.node(), status());
      case PeerMessage.Status status -> {
        inForce.onStatus(status.status());
        quarantine.checkPeerDigest(from.node(), status.suspicions());
      }
      case PeerMessage.RecordsRequest request -> records.send(from.node(), request.fromOffset());
      case PeerMessage.Records fetched -> log.receivedRecords(fetched.records());
      case PeerMessage.State state -> log.receivedState(state.snapshot());
      case PeerMessage.HandoverOffer handover -> coordinator.onHandover(handover.handover());
      case PeerMessage.HandoverAccepted accepted ->
          coordinator.onHandoverAcknowledged(accepted.handover());
      case PeerMessage.ClaimQuery question -> send(from.node(), claims.answer(question));
      case PeerMessage.ClaimReply reply -> claims.answered(reply);
      case PeerMessage.AskOrderToken ask -> tokens.asked(from.node(), ask.order());
      case PeerMessage.OrderToken token -> orders.tokenGranted(token.order());
      case PeerMessage.InterimOwner standIn -> ownership.handedOver(standIn.handover());
      case PeerMessage.Restriction restriction -> restrict(from.node(), restriction.order());
      case PeerMessage.RestrictionReply answer -> commands.restrictionAnswered(answer);
      default -> LOG.warn("unexpected_message", field("peer", from.node()));
    }
    performActions();
  }

  private boolean sendToClaimant(ClaimId claim, PeerMessage message) {
    if (!runs.isRunning(claim.node(), claim.boot())) {
      return false;
    }
    return network.send(claim.node(), message);
  }

  private void restrict(NodeName from, ControlRecord.Change order) {
    boolean applied = restrictions.add(order, log.state());
    changed();
    send(from, new PeerMessage.RestrictionReply(order.commandId(), self.node(), applied));
  }

  @Override
  public void connected(Member peer) {
    LOG.info("peer_connected", field("peer", peer.node()), field("boot", peer.boot()));
    coordinator.onBootIdSeen(RunId.of(peer));
    runs.connected(peer.node(), peer.boot())
        .ifPresent(ended -> owned.requesterLost(peer.node(), ended));
    performActions();
  }

  @Override
  public void refused(NodeName peer, Instant attemptedAt) {
    coordinator.onConnectionRefused(peer, attemptedAt);
    runs.refused(peer).ifPresent(ended -> owned.requesterLost(peer, ended));
  }

  /**
   * Returns the current configuration with its indexes; for all threads.
   *
   * @return view
   */
  public RoutingView view() {
    return view;
  }

  /**
   * Tells whether this daemon has loaded the control state; for all threads.
   *
   * @return true if requests can be served
   */
  public boolean isReady() {
    return ready;
  }

  /**
   * Returns admission for traffic threads.
   *
   * @return admission
   */
  public AdmissionClient admission() {
    return router;
  }

  /**
   * Returns the loads of all shards; for all threads.
   *
   * @return loads
   */
  public ShardLoads loads() {
    return shardLoads;
  }

  /**
   * Returns claims for traffic threads.
   *
   * @return claims
   */
  public ClaimClient claims() {
    return claims;
  }

  /**
   * Carries out an operator's command; for all threads.
   *
   * @param text command in the operators' language
   * @param commandId identity of the command
   * @param operator name of the operator
   * @return result
   */
  public Future<CommandResult> execute(String text, String commandId, String operator) {
    Promise<CommandResult> promise = Promise.promise();
    thread.run(() -> commands.execute(text, commandId, operator).onComplete(promise::handle));
    return promise.future();
  }

  /** Stops granting, hands all shards over and leaves the view; for all threads. */
  public void leave() {
    thread.run(
        () -> {
          coordinator.leave();
          performActions();
        });
  }

  /**
   * Runs a task on the control thread; for all threads.
   *
   * @param task task
   */
  public void run(Runnable task) {
    thread.run(task);
  }

  /**
   * Tells whether the view no longer has this daemon and all handovers are accepted; for the
   * control thread.
   *
   * @return true if nothing depends on this daemon
   */
  public boolean hasLeft() {
    return coordinator.hasLeft();
  }

  /**
   * Counts the shards that no successor has accepted; for the control thread.
   *
   * @return shards
   */
  public int unreleasedShards() {
    return coordinator.pendingHandovers();
  }

  /**
   * Tells whether the last read of the control log was answered; for the control thread.
   *
   * @return true if it was
   */
  public boolean isLogAvailable() {
    return logAvailable;
  }

  /**
   * Stops input and output.
   *
   * @return completes when the peer port is closed
   */
  public Future<Void> stop() {
    log.stop();
    claims.stop();
    return network.close();
  }
}
