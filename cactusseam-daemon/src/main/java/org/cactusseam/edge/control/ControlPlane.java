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

/**
 * Connects the control state of this daemon to the control log, the peers, the VM list and the
 * backend servers. All state is confined to the control thread.
 */
public final class ControlPlane implements PeerListener {

  private static final StructuredLog LOG = StructuredLog.of(ControlPlane.class);
  private static final long TICK_INTERVAL_MILLIS = 100;
  private static final long RUNNING_ATTEMPTS_INTERVAL_MILLIS = 1_000;
  private static final long LOAD_POLL_INTERVAL_MILLIS = 250;
  private static final long VM_LIST_INTERVAL_MILLIS = 1_000;
  private static final long SLOW_TICK_INTERVAL_MILLIS = 2_000;

  private final Vertx vertx;
  private final Clock clock;
  private final ControlThread thread;
  private final String bootId;
  private final LoadProbes loadProbes;
  private final PeerNetwork network;
  private final PeerDirectory directory;
  private final ControlLog log;
  private final RecordSender recordSender;
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
  private final RolloutService rollouts;
  private final PeerProcesses processes = new PeerProcesses();
  private Member self;
  private volatile RoutingView view = RoutingView.EMPTY;
  private volatile boolean ready;
  private boolean logAvailable;

  /**
   * Creates the control plane. Has to be called on the control thread.
   *
   * @param vertx event loops and timers
   * @param clock clock for leases, deadlines and intervals
   * @param settings settings of the daemon
   * @param self description of this daemon for its peers
   * @param platformLog append-only log of the platform
   * @param vmList the platform's list of VMs
   * @param localRequests supplies the requests that this daemon serves now
   */
  public ControlPlane(
      Vertx vertx,
      Clock clock,
      Settings settings,
      Member self,
      AppendOnlyLog platformLog,
      VirtualMachineList vmList,
      Supplier<List<RequestSummary>> localRequests) {
    this.vertx = vertx;
    this.clock = clock;
    this.thread = new ControlThread(vertx);
    this.self = self;
    this.bootId = self.boot();
    this.network =
        new PeerNetwork(
            vertx, clock, settings.keys().cluster().bytes(), settings.deployment(), self, this);
    MembershipSettings membership = CoreSettings.membership(settings);
    this.coordinator = new MembershipCoordinator(self, membership, clock);
    this.directory = new PeerDirectory(clock, vmList, network, coordinator);
    this.inForce = new InForceTracker(clock, membership.permitValidity());
    this.log = new ControlLog(vertx, clock, platformLog, settings.platform(), new LogListener());
    this.recordSender = new RecordSender(log, this::send);
    this.ownership = new ShardOwnership(log::state, this::onOwnersChanged);
    this.router =
        new PermitRouter(
            thread,
            clock,
            ownership::ownerOf,
            () -> log.state().nextOffset(),
            membership.takeoverLimit(),
            pool -> view.isRolledOut(pool),
            this::send);
    this.quarantine =
        new QuarantineService(
            self.node(), clock, this::send, this::sendToPeers, ownership::ownersOfPool);
    this.owned =
        new OwnedShards(
            clock, CoreSettings.admission(settings), coordinator::mayGrant, this::send, quarantine);
    this.publisher = new LoadPublisher(clock, owned::loads, shardLoads, this::sendToPeers);
    LoadPoller poller = new LoadPoller(vertx);
    this.loadProbes = new LoadProbes(clock, poller, owned, quarantine, () -> view.shards());
    this.cacheEvents = new CacheEventReader(poller, owned);
    this.queries = new PeerQueries(vertx, self.node(), network, localRequests);
    this.claims =
        new ClaimService(
            vertx, thread, clock, platformLog, settings.platform(), self, this::sendToClaimant);
    this.tokens =
        new OrderTokenService(
            clock, self.node(), membership, settings.platform().weightStoreInterval(), this::send);
    this.orders =
        new OrderService(
            clock, self, tokens, new OrderClient(vertx), coordinator::mayGrant, log::append);
    this.rollouts = new RolloutService(clock, log::state, owned, this::sendToPeers, log::append);
    this.commands =
        new CommandService(
            vertx,
            self.node(),
            log,
            inForce,
            restrictions,
            network,
            queries,
            rollouts::table,
            this::publishView);
  }

  private final class LogListener implements ControlLog.Listener {
    @Override
    public void onRecordApplied(ControlRecord record, Configuration previous) {
      coordinator.onStateApplied(log.state());
      if (record instanceof ControlRecord.Change change) {
        trackChange(change, previous);
      }
      if (record instanceof OrderRecord.Issued issued) {
        commands.onRecorded(issued.commandId());
      }
      onStateChanged();
    }

    @Override
    public void onStateLoaded() {
      coordinator.onStateApplied(log.state());
      onStateChanged();
      ready = true;
    }

    @Override
    public void onLogRead(Instant sentAt, boolean reachedEnd) {
      logAvailable = true;
      coordinator.onLogRead(sentAt, reachedEnd);
      if (reachedEnd) {
        tokens.onLogRead(sentAt);
      }
    }

    @Override
    public void onReadFailed() {
      logAvailable = false;
      coordinator.onLogReadFailed();
    }
  }

  private void trackChange(ControlRecord.Change change, Configuration previous) {
    Optional<RecordOutcome> outcome = log.state().recordedOutcome(change.commandId());
    if (outcome.equals(Optional.of(RecordOutcome.ACCEPTED))) {
      String id = change.commandId();
      long offset = log.state().offsetOf(id).orElseThrow();
      Set<ShardId> affected =
          InForceTracker.affected(
              change.key(), previous, log.state().configuration(), log.state().owners());
      if (previous.find(change.key()).isEmpty()) {
        inForce.trackCreation(id, offset, affected);
      } else {
        inForce.trackCommand(id, offset, affected);
      }
    }
    commands.onRecorded(change.commandId());
  }

  private void onOwnersChanged() {
    router.onOwnersChanged();
  }

  private void onStateChanged() {
    restrictions.onStateApplied(log.state());
    inForce.onStateApplied(log.state());
    orders.onStateApplied(log.state());
    claims.setAppendingNodes(log.state().membership().entries().size());
    ownership.onStateChanged();
    directory.connectMembers(log.state().membership());
    publishView();
  }

  /**
   * Publishes the configuration to the threads that serve requests and passes it to the owned
   * shards.
   */
  private void publishView() {
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
   * Opens the port for peers, then starts to follow the logs and sets the timers.
   *
   * @return completes when the port for peers is open
   */
  public Future<Void> start() {
    return network.listen().onSuccess(listening -> startTimers());
  }

  private void startTimers() {
    log.start();
    claims.start();
    vertx.setPeriodic(TICK_INTERVAL_MILLIS, timer -> tick());
    vertx.setPeriodic(
        RUNNING_ATTEMPTS_INTERVAL_MILLIS, timer -> router.sendRunningAttempts(bootId));
    vertx.setPeriodic(LOAD_POLL_INTERVAL_MILLIS, timer -> pollBackendServers());
    vertx.setPeriodic(VM_LIST_INTERVAL_MILLIS, timer -> directory.readList());
    vertx.setPeriodic(SLOW_TICK_INTERVAL_MILLIS, timer -> slowTick());
    directory.readList();
  }

  private void tick() {
    coordinator.tick();
    inForce.onStatus(coordinator.status());
    inForce.tick();
    performActions();
    owned.tick();
    loadProbes.pollSuspected();
    orders.tick(owned.owned(), view.shards());
    rollouts.tick(view.shards());
    router.tick();
    commands.tick();
    if (commands.isOperatorWaiting()) {
      askUnconfirmedOwners();
    }
  }

  /**
   * Asks the owners whose confirmation is missing for their status. Only the daemon that answers
   * the operator does so, which limits the number of messages.
   */
  private void askUnconfirmedOwners() {
    inForce
        .unconfirmedOwners()
        .forEach(run -> network.send(run.node(), new PeerMessage.StatusRequest()));
  }

  private void slowTick() {
    if (!log.isLoaded()) {
      network.peers().forEach(peer -> network.send(peer, new PeerMessage.RecordsRequest(-1)));
    }
    commands.appendPendingRestrictions();
    if (commands.hasUnfinished()) {
      askUnconfirmedOwners();
    }
    // Without suspicions there is nothing to compare, so that only idle connections need traffic.
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
    actions.forEach(this::performAction);
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

  private void performAction(MembershipAction action) {
    switch (action) {
      case MembershipAction.Append append -> log.append(append.record());
      case MembershipAction.SendPing ping ->
          send(ping.to().node(), new PeerMessage.Ping(ping.sequence(), coordinator.status()));
      case MembershipAction.FetchRecords fetch ->
          send(fetch.peer().node(), new PeerMessage.RecordsRequest(fetch.fromOffset()));
      case MembershipAction.SendHandover handover ->
          send(handover.handover().to().node(), new PeerMessage.HandoverOffer(handover.handover()));
      case MembershipAction.AcknowledgeHandover accepted ->
          acknowledgeHandover(accepted.handover());
      case MembershipAction.BecomeOwner owner ->
          LOG.info("shard_owned", field("shard", owner.shard()), field("epoch", owner.epoch()));
      case MembershipAction.StopOwning owner ->
          LOG.info("shard_released", field("shard", owner.shard()));
    }
  }

  private void acknowledgeHandover(Handover handover) {
    ownership.recordHandover(handover);
    send(handover.from().node(), new PeerMessage.HandoverAccepted(handover));
    for (NodeName peer : network.peers()) {
      network.send(peer, new PeerMessage.InterimOwner(handover));
    }
    configureShards();
  }

  private void pollBackendServers() {
    publisher.publish();
    loadProbes.pollAll();
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
      // Delivered through the event loop, so that a message never re-enters the code that sends it.
      vertx.runOnContext(ignored -> received(self, message));
    } else {
      network.send(node, message);
    }
  }

  @Override
  public void received(Member from, PeerMessage message) {
    switch (message) {
      case PeerMessage.AskPermit ask -> handlePermitRequest(from, ask);
      case PeerMessage.PermitDecision decided ->
          router.onDecision(decided.decision(), decided.round());
      case PeerMessage.ResponseStarted confirmed -> owned.onResponseStarted(confirmed);
      case PeerMessage.AttemptResponse response -> owned.onAttemptResponse(response);
      case PeerMessage.AttemptEnded ended -> owned.onAttemptEnded(ended);
      case PeerMessage.ShardRollouts known -> rollouts.onReports(known);
      case PeerMessage.FailureAcknowledged released -> router.releaseFailure(released.attempt());
      case PeerMessage.SuspicionsUpdate update ->
          quarantine.mergeAndReply(from.node(), update.known());
      case PeerMessage.SuspicionsReply known ->
          quarantine.mergePeerState(from.node(), known.known());
      case PeerMessage.RunningAttempts running -> owned.reconcileAttempts(from.node(), running);
      case PeerMessage.TransferAttempt transfer -> owned.onAttemptTransferred(transfer);
      case PeerMessage.Loads published -> shardLoads.update(published.loads());
      case PeerMessage.ListRequests query -> queries.answer(from.node(), query);
      case PeerMessage.RequestList reply -> queries.onReply(reply);
      default -> handleControlMessage(from, message);
    }
  }

  private void handlePermitRequest(Member from, PeerMessage.AskPermit ask) {
    Optional<AdmissionDecision> refusal = StaleViewCheck.refusal(ask, log.state().configuration());
    if (refusal.isPresent()) {
      recordSender.send(from.node(), ask.viewOffset());
      send(from.node(), new PeerMessage.PermitDecision(refusal.get(), ask.round()));
    } else {
      owned.requestPermit(ask.request(), ask.round());
    }
  }

  private void handleControlMessage(Member from, PeerMessage message) {
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
      case PeerMessage.RecordsRequest request ->
          recordSender.send(from.node(), request.fromOffset());
      case PeerMessage.Records fetched -> log.applyPeerRecords(fetched.records());
      case PeerMessage.State state -> log.addPeerSnapshotPart(state.snapshot());
      case PeerMessage.HandoverOffer handover -> coordinator.onHandover(handover.handover());
      case PeerMessage.HandoverAccepted accepted ->
          coordinator.onHandoverAcknowledged(accepted.handover());
      case PeerMessage.ClaimQuery query -> send(from.node(), claims.answerQuery(query));
      case PeerMessage.ClaimReply reply -> claims.onReply(reply);
      case PeerMessage.AskOrderToken ask -> tokens.onTokenRequest(from.node(), ask.order());
      case PeerMessage.OrderToken token -> orders.onTokenGranted(token.order());
      case PeerMessage.InterimOwner interim -> ownership.recordHandover(interim.handover());
      case PeerMessage.Restriction restriction ->
          applyRestriction(from.node(), restriction.order());
      case PeerMessage.RestrictionReply answer -> commands.onRestrictionReply(answer);
      default -> LOG.warn("unexpected_message", field("peer", from.node()));
    }
    performActions();
  }

  private boolean sendToClaimant(ClaimId claim, PeerMessage message) {
    if (!processes.isRunning(claim.node(), claim.boot())) {
      return false;
    }
    return network.send(claim.node(), message);
  }

  private void applyRestriction(NodeName from, ControlRecord.Change order) {
    boolean applied = restrictions.add(order, log.state());
    publishView();
    send(from, new PeerMessage.RestrictionReply(order.commandId(), self.node(), applied));
  }

  @Override
  public void connected(Member peer) {
    LOG.info("peer_connected", field("peer", peer.node()), field("boot", peer.boot()));
    coordinator.onBootIdSeen(RunId.of(peer));
    processes
        .recordConnection(peer.node(), peer.boot())
        .ifPresent(ended -> owned.onRequesterLost(peer.node(), ended));
    performActions();
  }

  @Override
  public void refused(NodeName peer, Instant attemptedAt) {
    coordinator.onConnectionRefused(peer, attemptedAt);
    processes.recordRefusedConnection(peer).ifPresent(ended -> owned.onRequesterLost(peer, ended));
  }

  /**
   * Returns the current configuration with its indexes. Callable on any thread.
   *
   * @return immutable view
   */
  public RoutingView view() {
    return view;
  }

  /**
   * Returns whether this daemon has loaded the control state. Callable on any thread.
   *
   * @return true if requests can be served
   */
  public boolean isReady() {
    return ready;
  }

  /**
   * Returns the client for permits. Its methods may be called on any event loop.
   *
   * @return client of the admission control
   */
  public AdmissionClient admission() {
    return router;
  }

  /**
   * Returns the last known loads of all shards. Usable on any thread.
   *
   * @return loads by shard
   */
  public ShardLoads loads() {
    return shardLoads;
  }

  /**
   * Returns the client for claims. Its methods may be called on any event loop.
   *
   * @return client of the claims log
   */
  public ClaimClient claims() {
    return claims;
  }

  /**
   * Executes an operator's command. Callable on any thread.
   *
   * @param text command in the command language
   * @param commandId identity of the command; a repetition has the same
   * @param operator name of the operator, for the log
   * @return result, delivered on the control thread
   */
  public Future<CommandResult> execute(String text, String commandId, String operator) {
    Promise<CommandResult> promise = Promise.promise();
    thread.run(() -> commands.execute(text, commandId, operator).onComplete(promise::handle));
    return promise.future();
  }

  /** Stops granting, hands over all shards and leaves the membership. Callable on any thread. */
  public void leave() {
    thread.run(
        () -> {
          coordinator.leave();
          performActions();
        });
  }

  /**
   * Runs a task on the control thread. Callable on any thread.
   *
   * @param task task to run
   */
  public void run(Runnable task) {
    thread.run(task);
  }

  /**
   * Returns whether this daemon has left the membership and all its handovers are acknowledged.
   * Only for the control thread.
   *
   * @return true if no other daemon depends on this one
   */
  public boolean hasLeft() {
    return coordinator.hasLeft();
  }

  /**
   * Returns how many shards no successor has acknowledged yet. Only for the control thread.
   *
   * @return number of shards
   */
  public int unreleasedShards() {
    return coordinator.pendingHandovers();
  }

  /**
   * Returns whether the last read of the control log succeeded. Only for the control thread.
   *
   * @return true if it did
   */
  public boolean isLogAvailable() {
    return logAvailable;
  }

  /**
   * Stops following the logs and closes the connections to peers.
   *
   * @return completes when the port for peers is closed
   */
  public Future<Void> stop() {
    log.stop();
    claims.stop();
    return network.close();
  }
}
