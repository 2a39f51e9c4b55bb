package org.cactusseam.edge.control;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cactusseam.edge.Json;
import org.cactusseam.edge.backend.LoadPoller;
import org.cactusseam.edge.peer.PeerListener;
import org.cactusseam.edge.peer.PeerNetwork;
import org.cactusseam.edge.platform.AppendOnlyLog;
import org.cactusseam.edge.platform.LogPage;
import org.cactusseam.edge.platform.VirtualMachine;
import org.cactusseam.edge.platform.VirtualMachineList;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.membership.Ownership;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.message.RequestSummary;
import org.jboss.logging.Logger;

/** Control state of this daemon with its input and output, all on the control thread. */
public final class ControlPlane implements PeerListener {

  private static final Logger LOG = Logger.getLogger(ControlPlane.class);
  private static final long DECISION_INTERVAL_MILLIS = 50;
  private static final long INVENTORY_INTERVAL_MILLIS = 1_000;
  private static final long LOAD_INTERVAL_MILLIS = 500;
  private static final long LIST_INTERVAL_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 500;

  private final Vertx vertx;
  private final ControlThread thread;
  private final Settings settings;
  private final Member self;
  private final AppendOnlyLog log;
  private final VirtualMachineList machines;
  private final LoadPoller loads;
  private final PeerNetwork network;
  private final ControlState state = new ControlState();
  private final PermitRouter router;
  private final OwnedShards owned;
  private final LogTailer tailer;
  private final PeerQueries queries;
  private volatile RoutingView view = RoutingView.EMPTY;
  private volatile boolean caughtUp;

  /**
   * Creates the control plane; the caller is on the control thread.
   *
   * @param vertx event loops
   * @param clock source of time
   * @param settings settings
   * @param self description of this daemon
   * @param log platform's log
   * @param machines platform's list of VMs
   * @param localRequests requests that this daemon serves
   */
  public ControlPlane(
      Vertx vertx,
      Clock clock,
      Settings settings,
      Member self,
      AppendOnlyLog log,
      VirtualMachineList machines,
      Supplier<List<RequestSummary>> localRequests) {
    this.vertx = vertx;
    this.thread = new ControlThread(vertx);
    this.settings = settings;
    this.self = self;
    this.log = log;
    this.machines = machines;
    this.loads = new LoadPoller(vertx);
    this.network =
        new PeerNetwork(
            vertx, settings.keys().cluster().bytes(), settings.deployment(), self, this);
    this.router = new PermitRouter(thread, clock, this::ownerOf, this::send);
    this.owned = new OwnedShards(clock, shard -> true, this::send);
    this.queries = new PeerQueries(vertx, self.node(), network, localRequests);
    this.tailer =
        new LogTailer(
            vertx,
            clock,
            log,
            settings.platform().controlStream(),
            state::nextOffset,
            new ControlReader());
  }

  private final class ControlReader implements LogTailer.Listener {
    @Override
    public void read(Instant sentAt, LogPage page) {
      page.records().forEach(entry -> applyEntry(entry.offset(), entry.value()));
      if (!page.records().isEmpty()) {
        changed();
      }
      caughtUp |= state.nextOffset() >= page.end();
    }

    @Override
    public void failed() {
      // The tailer reports the outage; the state stays as it is.
    }
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
    tailer.start();
    join();
    vertx.setPeriodic(DECISION_INTERVAL_MILLIS, timer -> tick());
    vertx.setPeriodic(INVENTORY_INTERVAL_MILLIS, timer -> router.sendInventories(self.boot()));
    vertx.setPeriodic(LOAD_INTERVAL_MILLIS, timer -> pollLoads());
    vertx.setPeriodic(LIST_INTERVAL_MILLIS, timer -> readList());
    readList();
  }

  private void join() {
    log.append(settings.platform().controlStream(), Json.write(new ControlRecord.Join(self)))
        .onFailure(cause -> vertx.setTimer(RETRY_MILLIS, timer -> join()));
  }

  private void applyEntry(long offset, String value) {
    Json.read(value, ControlRecord.class)
        .onSuccess(record -> state.apply(offset, record))
        .onFailure(
            cause -> LOG.errorf("event=control_record_unreadable offset=%d", (Object) offset));
  }

  private void changed() {
    view = new RoutingView(state.configuration());
    Map<ShardId, Long> epochs = new HashMap<>();
    for (ShardId shard : view.shards().shards().keySet()) {
      if (ownerOf(shard).filter(self.node()::equals).isPresent()) {
        epochs.put(shard, state.nextOffset());
      }
    }
    owned.configure(epochs, view.shards(), state.configuration());
  }

  private Optional<NodeName> ownerOf(ShardId shard) {
    return Ownership.ownerOf(shard, state.membership().active()).map(Member::node);
  }

  private void tick() {
    owned.tick();
    router.tick();
  }

  private void pollLoads() {
    for (ShardId shard : List.copyOf(owned.owned())) {
      for (BackendServer server : view.shards().shards().getOrDefault(shard, List.of())) {
        loads.poll(server).onSuccess(report -> owned.loadReport(shard, server.name(), report));
      }
    }
  }

  private void readList() {
    machines
        .list()
        .onSuccess(
            list -> {
              for (VirtualMachine machine : list) {
                network.connect(machine.name(), machine.host(), machine.peerPort());
              }
            });
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
      case PeerMessage.AskPermit ask -> owned.ask(ask.request(), ask.round());
      case PeerMessage.Decided decided -> router.decided(decided.decision(), decided.round());
      case PeerMessage.Confirmed confirmed -> owned.confirmed(confirmed);
      case PeerMessage.Ended ended -> owned.ended(ended);
      case PeerMessage.QueryRequest query -> queries.answer(from.node(), query);
      case PeerMessage.QueryReply reply -> queries.received(reply);
      case PeerMessage.Ping ping ->
          send(from.node(), new PeerMessage.Pong(ping.sequence(), state.nextOffset(), -1));
      case PeerMessage.Pong pong -> {}
      case PeerMessage.Inventory inventory -> {}
      case PeerMessage.Adopt adopt -> {}
      case PeerMessage.Hello hello -> LOG.warnf("event=unexpected_hello peer=%s", from.node());
      case PeerMessage.Proof proof -> LOG.warnf("event=unexpected_proof peer=%s", from.node());
    }
  }

  @Override
  public void connected(Member peer) {
    LOG.infof("event=peer_connected peer=%s boot=%s", peer.node(), peer.boot());
  }

  @Override
  public void refused(NodeName peer) {
    LOG.debugf("event=peer_refused peer=%s", peer);
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
   * Tells whether this daemon has read the control log to its end once; for all threads.
   *
   * @return true if requests can be served
   */
  public boolean isCaughtUp() {
    return caughtUp;
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
   * Collects the requests of all entry daemons; for all threads.
   *
   * @param timeout how long to wait for peers
   * @return replies of those that answered
   */
  public Future<List<PeerMessage.QueryReply>> queryRequests(Duration timeout) {
    io.vertx.core.Promise<List<PeerMessage.QueryReply>> promise = io.vertx.core.Promise.promise();
    thread.run(() -> queries.ask(timeout).onComplete(promise::handle));
    return promise.future();
  }

  /**
   * Stops input and output.
   *
   * @return completes when the peer port is closed
   */
  public Future<Void> stop() {
    tailer.stop();
    return network.close();
  }
}
