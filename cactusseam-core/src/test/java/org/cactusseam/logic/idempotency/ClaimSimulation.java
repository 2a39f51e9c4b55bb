package org.cactusseam.logic.idempotency;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimStatus;
import org.cactusseam.model.claim.StoredResponse;

/** Simulates several coordinators that share a clock and a log, under the faults of a test case. */
final class ClaimSimulation {

  static final Duration RETENTION = Duration.ofMinutes(40);
  private static final Duration STEP = Duration.ofMillis(10);
  private static final AccountName ACCOUNT = new AccountName("shop");

  private record Event(Instant at, String boot, Runnable effect) {}

  private final class Node {
    final NodeName name;
    final Duration skew;
    ClaimCoordinator coordinator;
    String boot;
    int bootCount;
    Instant pausedUntil = Instant.MIN;
    Instant downUntil = Instant.MIN;
    Instant nextRead = Instant.MIN;
    final List<Event> events = new ArrayList<>();

    Node(int index) {
      name = new NodeName("vm" + index);
      boolean skewed = faults.contains(Fault.CLOCK_SKEW);
      skew = skewed ? Duration.ofSeconds(random.nextInt(200) - 100) : Duration.ZERO;
      start();
    }

    void start() {
      boot = "boot" + ++bootCount;
      Clock local = Clock.offset(clock, skew);
      ClaimSettings settings = ClaimSettings.of(RETENTION);
      coordinator = new ClaimCoordinator(name, name + boot, settings, local);
      events.clear();
    }

    boolean isDown() {
      return clock.instant().isBefore(downUntil);
    }

    boolean isPaused() {
      return clock.instant().isBefore(pausedUntil);
    }

    void kill() {
      kills++;
      start();
      downUntil = clock.instant().plusMillis(200 + random.nextInt(600));
      pausedUntil = Instant.MIN;
    }

    void pause() {
      pauses++;
      pausedUntil = clock.instant().plusMillis(200 + random.nextInt(3000));
    }

    void after(int millis, Runnable effect) {
      events.add(new Event(clock.instant().plusMillis(millis), boot, effect));
    }
  }

  final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  final Set<Fault> faults;
  final Random random;
  final ScriptedLog log;
  final List<Node> nodes = new ArrayList<>();
  final Map<String, UUID> keys = new HashMap<>();
  final Map<UUID, Integer> executions = new HashMap<>();
  final Map<ClaimId, ResultCode> refused = new HashMap<>();
  final Map<ClaimId, StoredResponse> replayed = new HashMap<>();
  final Set<ClaimId> started = new HashSet<>();
  final Set<ClaimId> openAttempts = new HashSet<>();
  final List<String> violations = new ArrayList<>();
  private final Map<ClaimId, UUID> keyOf = new HashMap<>();
  private final Map<ClaimId, Instant> permittedUntil = new HashMap<>();
  private final Set<Fault> occurredFaults = new HashSet<>();
  int kills;
  int pauses;

  ClaimSimulation(Set<Fault> faults, long seed, int size) {
    this.faults = new HashSet<>(faults);
    this.random = new Random(seed);
    this.log = new ScriptedLog(random, this.faults);
    for (int index = 0; index < size; index++) {
      nodes.add(new Node(index));
    }
  }

  /** Creates a key with the current time. */
  UUID newKey() {
    long time = clock.millis() << 16;
    return new UUID(time | 0x7000 | random.nextInt(0x1000), random.nextLong() >>> 2 | 1L << 63);
  }

  Optional<ClaimId> send(int nodeIndex, UUID key, String body) {
    Node node = nodes.get(nodeIndex);
    if (node.isDown() || node.isPaused()) {
      return Optional.empty();
    }
    Instant deadline = clock.instant().plus(node.skew).plusSeconds(2);
    ClaimId id = node.coordinator.submit(ACCOUNT, key.toString(), body, deadline);
    keyOf.put(id, key);
    openAttempts.add(id);
    perform(node);
    return Optional.of(id);
  }

  void run(Duration duration) {
    Instant end = clock.instant().plus(duration);
    while (clock.instant().isBefore(end)) {
      step();
    }
  }

  private void step() {
    clock.advance(STEP);
    log.advance(clock.instant(), RETENTION);
    for (Node node : nodes) {
      if (!node.isDown() && !node.isPaused()) {
        step(node);
      }
    }
  }

  private void step(Node node) {
    Instant now = clock.instant();
    List<Event> due = node.events.stream().filter(event -> !event.at.isAfter(now)).toList();
    node.events.removeAll(due);
    for (Event event : due) {
      if (event.boot.equals(node.boot) && !node.isDown()) {
        event.effect.run();
        perform(node);
      }
    }
    if (!now.isBefore(node.nextRead)) {
      node.nextRead = now.plusMillis(10 + random.nextInt(60));
      if (log.available) {
        log.readInto(node.coordinator);
      } else {
        node.coordinator.logUnavailable();
      }
    }
    node.coordinator.tick();
    perform(node);
  }

  private void perform(Node node) {
    String boot = node.boot;
    for (ClaimAction action : node.coordinator.drain()) {
      if (!boot.equals(node.boot)) {
        return;
      }
      perform(node, action);
    }
  }

  private void perform(Node node, ClaimAction action) {
    switch (action) {
      case ClaimAction.Append append -> append(node, append);
      case ClaimAction.Dispatch dispatch -> dispatch(node, dispatch);
      case ClaimAction.Refuse refuse -> refuse(refuse.id(), refuse.refusal().code());
      case ClaimAction.Replay replay -> replay(replay.id(), replay.response());
      case ClaimAction.QueryClaim query -> query(node, query);
    }
  }

  private void append(Node node, ClaimAction.Append append) {
    ScriptedLog.Response response = log.append(append.record(), clock.instant());
    ClaimCoordinator coordinator = node.coordinator;
    switch (response) {
      case SUCCESS -> node.after(10, () -> coordinator.appendSucceeded(append.batch()));
      case ERROR -> node.after(10, () -> coordinator.appendFailed(append.batch()));
      default -> node.after(300, () -> coordinator.appendTimedOut(append.batch()));
    }
    boolean claims =
        append.record().entries().stream().anyMatch(ClaimEntry.Claimed.class::isInstance);
    if (claims && occursOnce(Fault.KILL_AFTER_APPEND)) {
      node.kill();
    } else if (claims && occursOnce(Fault.PAUSE_AFTER_APPEND)) {
      node.pause();
    }
  }

  /** Returns whether a fault that occurs at most once in a test case occurs now. */
  private boolean occursOnce(Fault fault) {
    return faults.contains(fault) && random.nextInt(2) == 0 && occurredFaults.add(fault);
  }

  private void dispatch(Node node, ClaimAction.Dispatch dispatch) {
    ClaimId id = dispatch.id();
    permittedUntil.put(id, dispatch.until().minus(node.skew));
    if (occursOnce(Fault.KILL_BEFORE_DISPATCH)) {
      node.kill();
      return;
    }
    if (occursOnce(Fault.PAUSE_BEFORE_DISPATCH)) {
      node.pause();
    }
    node.after(random.nextInt(40), () -> begin(node, id));
  }

  private void begin(Node node, ClaimId id) {
    if (!node.coordinator.tryStart(id)) {
      return;
    }
    check(
        clock.instant().isBefore(permittedUntil.get(id)),
        "sent after its dispatch lease expired: " + id);
    check(!refused.containsKey(id), "sent after a refusal: " + id);
    check(started.add(id), "sent twice: " + id);
    if (faults.contains(Fault.SERVER_REFUSES) && random.nextInt(2) == 0) {
      node.after(20, () -> serverRefused(node, id));
      return;
    }
    UUID key = keyOf.get(id);
    check(executions.merge(key, 1, Integer::sum) == 1, "executed twice: " + key);
    if (occursOnce(Fault.KILL_WHILE_RUNNING)) {
      node.kill();
    } else {
      node.after(20 + random.nextInt(300), () -> end(node, id));
    }
  }

  private void serverRefused(Node node, ClaimId id) {
    openAttempts.remove(id);
    refused.put(id, ResultCode.BACKEND_UNAVAILABLE);
    node.coordinator.notRun(id);
  }

  private void end(Node node, ClaimId id) {
    openAttempts.remove(id);
    if (faults.contains(Fault.SERVER_BREAKS) && random.nextInt(2) == 0) {
      node.coordinator.outcomeUnknown(id);
      return;
    }
    byte[] body = keyOf.get(id).toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    node.coordinator.completed(id, Optional.of(new StoredResponse(200, "text/plain", body)));
  }

  private void refuse(ClaimId id, ResultCode code) {
    check(openAttempts.remove(id), "answered twice: " + id);
    check(!started.contains(id) || refused.containsKey(id), "refused although sent: " + id);
    refused.put(id, code);
    boolean ran = executions.containsKey(keyOf.get(id));
    check(code != ResultCode.ALREADY_RAN || ran, "ALREADY_RAN without an execution: " + id);
  }

  private void replay(ClaimId id, StoredResponse response) {
    check(openAttempts.remove(id), "answered twice: " + id);
    String body = new String(response.body(), java.nio.charset.StandardCharsets.UTF_8);
    check(body.equals(keyOf.get(id).toString()), "response of another key: " + id);
    replayed.put(id, response);
  }

  private void query(Node node, ClaimAction.QueryClaim query) {
    Node other =
        nodes.stream().filter(any -> any.name.equals(query.node())).findAny().orElseThrow();
    node.after(10, () -> deliver(node, other, query));
  }

  private void deliver(Node node, Node other, ClaimAction.QueryClaim query) {
    if (other.isDown()) {
      node.coordinator.peerUnreachable(query.id(), query.claim());
    } else if (!other.isPaused() && !faults.contains(Fault.PEER_SILENT)) {
      ClaimStatus status = other.coordinator.statusOf(query.key(), query.claim());
      node.coordinator.statusReceived(query.id(), query.claim(), status);
    }
  }

  private void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(violation);
    }
  }

  /** Clears all faults and waits until every daemon is running again. */
  void clearFaults() {
    faults.clear();
    log.available = true;
    run(Duration.ofSeconds(6));
  }

  /** Returns the attempts without a response whose daemon process still exists. */
  List<ClaimId> unanswered() {
    List<String> runningProcesses = nodes.stream().map(node -> node.name + node.boot).toList();
    return openAttempts.stream().filter(id -> runningProcesses.contains(id.boot())).toList();
  }
}
