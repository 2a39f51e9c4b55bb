package org.cactusseam.logic.membership;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.control.InForceEvent;
import org.cactusseam.logic.control.InForceTracker;
import org.cactusseam.logic.control.ShardOwners;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;

/**
 * Deterministic simulation of several nodes with a simulated clock, log, network and VM list. After
 * every step of 50 ms it checks that no shard has two granting owners, that owners have applied
 * every command before their epoch and every accepted command, and that the configuration of each
 * node equals that of the log at the same offset.
 */
final class ClusterSimulation {

  private static final long STEP_MILLIS = 50;
  private static final long PERMIT_MILLIS = 1000;
  private static final int SERVERS_PER_REGION = 20;

  /** A record of the simulated log with its offset and append time. */
  record Stored(long offset, long atMillis, ControlRecord record) {}

  private record Event(long atMillis, long number, Runnable step) {}

  private record Grant(long atMillis, long nextOffset) {}

  final Random random;
  final MembershipSettings settings;
  final Map<NodeName, SimulatedNode> nodes = new TreeMap<>();
  final Set<Set<NodeName>> cutLinks = new HashSet<>();
  final Set<List<NodeName>> cutDirections = new HashSet<>();
  boolean logOut;
  boolean regionsCut;
  boolean listOut;
  long listLagMillis = 5_000;
  long extraDelayMillis;
  long appendDelayMillis;
  double lossProbability;
  double duplicateProbability;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final List<Stored> log = new ArrayList<>();
  private final ControlState reference = new ControlState();
  private final List<ShardOwners> ownersAt = new ArrayList<>(List.of(ShardOwners.EMPTY));
  private final List<Configuration> configurationAt = new ArrayList<>(List.of(Configuration.EMPTY));
  private final TreeMap<Long, Set<NodeName>> vmHistory = new TreeMap<>(Map.of(-1L, Set.of()));
  private final Map<ShardId, Long> acceptedOffset = new HashMap<>();
  private final Map<ShardId, Deque<Grant>> grants = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long nowMillis;
  private long eventNumber;
  private int commands;
  private int acceptedCommands;

  ClusterSimulation(long seed) {
    this(seed, MembershipSettings.DEFAULT);
  }

  ClusterSimulation(long seed, MembershipSettings settings) {
    random = new Random(seed);
    this.settings = settings;
    for (String region : List.of("a", "b", "c")) {
      put(
          new FailureDomain(
              new FailureDomainName(region + "-1"), new RegionName(region), ServiceState.IN));
      for (int number = 0; number < SERVERS_PER_REGION; number++) {
        put(server(region, number));
      }
    }
  }

  private static BackendServer server(String region, int number) {
    return new BackendServer(
        new BackendServerName(region + number),
        new PoolName("pool"),
        new FailureDomainName(region + "-1"),
        BackendKind.ENGINE,
        "127.0.0.1",
        1000 + number,
        true,
        1,
        8,
        1000,
        ServiceState.IN);
  }

  private void put(ConfigurationObject value) {
    record(
        new ControlRecord.Change(
            "initial-" + log.size(),
            value.key(),
            ControlRecord.ABSENT_REVISION,
            Optional.of(value),
            "test"));
  }

  SimulatedNode addNode(String name, String region) {
    double rate = 0.99 + 0.02 * random.nextDouble();
    SkewedClock clock = new SkewedClock(() -> nowMillis, random.nextInt(1_000_000), rate);
    SimulatedNode node = new SimulatedNode(this, name, region, clock);
    nodes.put(node.name, node);
    recordVmHistory();
    return node;
  }

  SimulatedNode node(String name) {
    return nodes.get(new NodeName(name));
  }

  void recordVmHistory() {
    vmHistory.put(
        nowMillis,
        nodes.values().stream()
            .filter(node -> node.vmUp)
            .map(node -> node.name)
            .collect(Collectors.toSet()));
  }

  Optional<Set<NodeName>> vmList() {
    return listOut
        ? Optional.empty()
        : Optional.of(vmHistory.floorEntry(Math.max(-1, nowMillis - listLagMillis)).getValue());
  }

  void schedule(long delayMillis, Runnable step) {
    eventNumber++;
    events.add(new Event(nowMillis + delayMillis, eventNumber, step));
  }

  long latency() {
    return 1 + random.nextInt(40);
  }

  private long messageDelay() {
    return latency() + (extraDelayMillis > 0 ? random.nextLong(extraDelayMillis) : 0);
  }

  /** Sends a message. If the process is down but its VM is reachable, the connection is refused. */
  void send(
      SimulatedNode from,
      NodeName to,
      Consumer<SimulatedNode> delivery,
      Runnable connectionRefused) {
    SimulatedNode peer = nodes.get(to);
    if (peer == null || !isLinked(from, peer) || !peer.vmUp) {
      return;
    }
    if (!peer.processUp) {
      connectionRefused.run();
      return;
    }
    int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (random.nextDouble() >= lossProbability) {
        peer.runLater(messageDelay(), () -> delivery.accept(peer));
      }
    }
  }

  private boolean isLinked(SimulatedNode left, SimulatedNode right) {
    if (left == right) {
      return true;
    }
    boolean sameRegion = left.region.equals(right.region);
    return !left.isolated
        && !right.isolated
        && (sameRegion || !regionsCut)
        && !cutDirections.contains(List.of(left.name, right.name))
        && !cutLinks.contains(Set.of(left.name, right.name));
  }

  void requestStatus(SimulatedNode from, RunId to) {
    if (!to.node().equals(from.name) && random.nextInt(3) == 0) {
      send(
          from,
          to.node(),
          peer -> {
            PeerStatus status = peer.coordinator.status();
            send(peer, from.name, own -> own.tracker.onStatus(status), () -> {});
          },
          () -> {});
    }
  }

  private boolean reachesLog(SimulatedNode node) {
    return !logOut && !node.logCut;
  }

  /** Answers a read as soon as there are records, or when the long poll ends after 1 s. */
  void serveRead(SimulatedNode node, int run, Instant sentAt, long from, int waitedMillis) {
    if (node.run != run) {
      return;
    }
    if (!reachesLog(node)) {
      node.runLater(500, node::readFailed);
    } else if (log.size() > from || waitedMillis >= 1000) {
      List<Stored> found = records(from, log.size());
      long end = log.size();
      node.runLater(messageDelay(), () -> node.readAnswered(sentAt, found, end));
    } else {
      schedule(50, () -> serveRead(node, run, sentAt, from, waitedMillis + 50));
    }
  }

  List<Stored> records(long from, long end) {
    return from >= end ? List.of() : List.copyOf(log.subList((int) from, (int) end));
  }

  void append(SimulatedNode node, ControlRecord record) {
    if (reachesLog(node)) {
      long delay = latency() + (appendDelayMillis > 0 ? random.nextLong(appendDelayMillis) : 0);
      schedule(
          delay,
          () -> {
            if (!logOut) {
              record(record);
            }
          });
    }
  }

  private void record(ControlRecord record) {
    Stored stored = new Stored(log.size(), nowMillis, record);
    log.add(stored);
    reference.apply(stored.offset(), stored.atMillis(), record);
    ownersAt.add(reference.owners());
    configurationAt.add(reference.configuration());
  }

  /**
   * Submits an operator's command at a random node that takes a failure domain out of service or
   * back in.
   */
  void submitCommand() {
    List<SimulatedNode> up = nodes.values().stream().filter(node -> node.processUp).toList();
    if (up.isEmpty()) {
      return;
    }
    SimulatedNode node = up.get(random.nextInt(up.size()));
    List<FailureDomain> domains = node.state.configuration().all(FailureDomain.class);
    if (!domains.isEmpty() && !node.paused) {
      FailureDomain domain = domains.get(random.nextInt(domains.size()));
      ServiceState flipped = domain.state() == ServiceState.IN ? ServiceState.OUT : ServiceState.IN;
      commands++;
      append(
          node,
          new ControlRecord.Change(
              "order-" + commands,
              domain.key(),
              node.state.expectedRevision(domain.key()),
              Optional.of(domain.withState(flipped)),
              "test"));
    }
  }

  void recordAccepted(SimulatedNode node, InForceEvent.InForce event) {
    acceptedCommands++;
    int offset = (int) event.offset();
    ControlRecord.Change change = (ControlRecord.Change) log.get(offset).record();
    Set<ShardId> affected =
        InForceTracker.affected(
            change.key(),
            configurationAt.get(offset),
            configurationAt.get(offset + 1),
            ownersAt.get(offset + 1));
    for (ShardId shard : affected) {
      acceptedOffset.merge(shard, event.offset(), Math::max);
      for (Grant grant : grants.getOrDefault(shard, new ArrayDeque<>())) {
        if (grant.atMillis > nowMillis - PERMIT_MILLIS && grant.nextOffset <= offset) {
          reportViolation(
              "%s accepted %s, but a permit of %s without it was granted at %d",
              node.name, event.commandId(), shard, grant.atMillis);
        }
      }
    }
  }

  private void reportViolation(String text, Object... arguments) {
    violations.add(nowMillis + " ms: " + String.format(text, arguments));
  }

  List<String> violations() {
    return violations;
  }

  /** Returns the shards for which a command was accepted. */
  Set<ShardId> acceptedShards() {
    return acceptedOffset.keySet();
  }

  int acceptedCommands() {
    return acceptedCommands;
  }

  /**
   * Advances the clock in steps of 50 ms and checks the invariants after each, until one is
   * violated.
   */
  void run(long durationMillis) {
    long end = nowMillis + durationMillis;
    while (nowMillis < end && violations.isEmpty()) {
      long step = nowMillis + STEP_MILLIS;
      while (!events.isEmpty() && events.peek().atMillis <= step) {
        Event event = events.remove();
        nowMillis = event.atMillis;
        event.step.run();
      }
      nowMillis = step;
      check();
    }
  }

  private void check() {
    for (ShardId shard : reference.owners().owners().keySet()) {
      List<SimulatedNode> granting = granting(shard);
      if (granting.size() > 1) {
        List<NodeName> names = granting.stream().map(node -> node.name).toList();
        reportViolation("%s may grant for %s", names, shard);
      }
      granting.forEach(node -> checkGrant(node, shard));
    }
    nodes.values().stream().filter(node -> node.processUp).forEach(this::checkConfiguration);
  }

  List<SimulatedNode> granting(ShardId shard) {
    return nodes.values().stream().filter(node -> node.mayGrant(shard)).toList();
  }

  private void checkGrant(SimulatedNode node, ShardId shard) {
    long next = node.state.nextOffset();
    long epoch = ownersAt.get((int) next).of(shard).orElseThrow().epoch();
    if (!Optional.of(epoch).equals(node.epoch(shard)) || epoch >= next) {
      reportViolation(
          "%s grants for %s in epoch %s, not %d", node.name, shard, node.epoch(shard), epoch);
    }
    if (acceptedOffset.getOrDefault(shard, -1L) >= next) {
      reportViolation("%s grants for %s without the accepted command", node.name, shard);
    }
    Deque<Grant> recent = grants.computeIfAbsent(shard, key -> new ArrayDeque<>());
    recent.addLast(new Grant(nowMillis, next));
    while (recent.getFirst().atMillis < nowMillis - PERMIT_MILLIS) {
      recent.removeFirst();
    }
  }

  private void checkConfiguration(SimulatedNode node) {
    Configuration expected = configurationAt.get((int) node.state.nextOffset());
    for (String region : List.of("a", "b", "c")) {
      FailureDomainName name = new FailureDomainName(region + "-1");
      if (!expected.domain(name).equals(node.state.configuration().domain(name))) {
        reportViolation("%s has another state of %s than the log", node.name, name);
      }
    }
  }

  /**
   * Ends all faults and restarts lost VMs. Killed processes stay down unless all processes are
   * down.
   */
  void endAllFaults() {
    logOut = false;
    regionsCut = false;
    listOut = false;
    listLagMillis = 5_000;
    extraDelayMillis = 0;
    appendDelayMillis = 0;
    lossProbability = 0;
    duplicateProbability = 0;
    cutLinks.clear();
    cutDirections.clear();
    for (SimulatedNode node : nodes.values()) {
      node.logCut = false;
      node.isolated = false;
      if (!node.vmUp) {
        node.start();
      } else if (node.paused) {
        node.resume();
      }
    }
    if (nodes.values().stream().noneMatch(node -> node.processUp)) {
      nodes.values().forEach(SimulatedNode::start);
    }
    recordVmHistory();
  }

  /** Returns the shards that no node may grant for. */
  Set<ShardId> shardsWithoutOwner() {
    return reference.owners().owners().keySet().stream()
        .filter(shard -> granting(shard).isEmpty())
        .collect(Collectors.toCollection(TreeSet::new));
  }

  /** Returns the records of the log except configuration changes, for failure messages. */
  String trace() {
    return log.stream()
        .filter(stored -> !(stored.record() instanceof ControlRecord.Change))
        .map(stored -> stored.offset() + " @" + stored.atMillis() + " " + stored.record())
        .collect(Collectors.joining("\n"));
  }
}
