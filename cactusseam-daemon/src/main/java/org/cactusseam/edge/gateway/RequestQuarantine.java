package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import com.google.common.hash.Hashing;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.quarantine.ConvictionPolicy;
import org.cactusseam.logic.quarantine.PublicationSchedule;
import org.cactusseam.logic.quarantine.QuarantineTable;
import org.cactusseam.logic.quarantine.RepeatedRequests;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Names;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.gateway.ServerInstance;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;
import org.cactusseam.model.quarantine.Suspicions;

/**
 * Recognises requests that crash the servers that begin to answer them, together with the other
 * gateways. Evidence and convictions go to all connected gateways, convictions also to the
 * platform's store. Confined to the event loop.
 */
final class RequestQuarantine {

  private static final StructuredLog LOG = StructuredLog.of(RequestQuarantine.class);

  /** Time for a message to reach the other gateways, also those of another region. */
  private static final Duration SHARE_TIME = Duration.ofMillis(20);

  /** Shorter than the time after which a crash counts as evidence. */
  private static final Duration SHARE_WINDOW = Duration.ofMillis(250);

  private static final int SHARE_POSITIONS = 1_000;

  private final String node;
  private final Clock clock;
  private final CrashCheck crashCheck;
  private final Predicate<String> isLeaving;
  private final QuarantineTable table;
  private final RepeatedRequests repeated;
  private final PublicationSchedule publications;
  private Set<Conviction> convictions = Set.of();
  private int gatewayCount = 1;
  private Instant shareChangesAt = Instant.MAX;

  /** What the other gateways know, because it was sent to them or received from one. */
  private Suspicions shared = Suspicions.NONE;

  private Consumer<Suspicions> peerBroadcast = changes -> {};
  private Runnable onConviction = () -> {};

  /**
   * Creates a quarantine without crashes.
   *
   * @param vertx instance whose event loop owns the state
   * @param clock time source
   * @param node name of this gateway
   * @param isLeaving returns whether a server, by its identifier, is known to leave
   */
  RequestQuarantine(Vertx vertx, Clock clock, String node, Predicate<String> isLeaving) {
    this.node = node;
    this.clock = clock;
    this.crashCheck = new CrashCheck(vertx);
    this.isLeaving = isLeaving;
    this.table =
        new QuarantineTable(new NodeName(toName(node)), clock, ConvictionPolicy.REQUEST_PARTS);
    this.repeated = new RepeatedRequests(clock, RequestFingerprints::isWhole);
    this.publications = new PublicationSchedule(node);
  }

  /** Sets the receiver of changes for the other gateways. */
  void setPeerBroadcast(Consumer<Suspicions> receiver) {
    peerBroadcast = receiver;
  }

  /** Sets the action that is run when more requests are to be refused than before. */
  void setOnConviction(Runnable action) {
    onConviction = action;
  }

  void setGatewayCount(int number) {
    gatewayCount = number;
  }

  /** Returns whether any crash or conviction is known; otherwise no fingerprint is needed. */
  boolean isActive() {
    return !table.suspicions().equals(Suspicions.NONE);
  }

  boolean isQuarantined(Set<String> fingerprints) {
    return table.isQuarantined(fingerprints);
  }

  /** Returns whether a request should not be sent again after a failure. */
  boolean isSuspected(Set<String> fingerprints) {
    return repeated.isSuspected(fingerprints);
  }

  /** Returns all evidence and convictions, for a gateway that has just connected. */
  Suspicions state() {
    return table.suspicions();
  }

  /**
   * Records that a server has answered a request, or has begun to stream its answer, and so was not
   * crashed by it.
   */
  void recordAnswer(Set<String> fingerprints) {
    fingerprints.forEach(table::recordCompletion);
    List<CrashReport> cleared =
        fingerprints.stream()
            .filter(RequestFingerprints::isWhole)
            .flatMap(request -> repeated.recordAnswer(request).stream())
            .toList();
    if (!cleared.isEmpty()) {
      peerBroadcast.accept(new Suspicions(cleared, List.of()));
    }
    shareChanges();
  }

  /**
   * Finds out whether a server crashed that closed the connection of an attempt before its answer
   * began. A server that is known to leave closes its port and its connections without a crash.
   *
   * @param server server of the attempt
   * @param fingerprints fingerprints of the request
   * @param started whether the server had started to answer, that is, sent the head of the response
   * @return state of the server, as soon as the crash, if there was one, is recorded
   */
  Future<CrashCheck.Result> recordUnanswered(
      ServerInstance server, Set<String> fingerprints, boolean started) {
    return crashCheck
        .check(server)
        .onSuccess(
            result -> {
              if (result == CrashCheck.Result.CRASHED && !isLeaving.test(server.id())) {
                recordCrash(server, fingerprints, started);
              }
            });
  }

  private void recordCrash(ServerInstance server, Set<String> fingerprints, boolean started) {
    CrashId id =
        table.recordCrash(
            new BackendServerName(toName(server.id())),
            Long.toString(server.startedAtMillis()),
            fingerprints,
            started);
    repeated.add(new CrashReport(id, fingerprints, Set.of(), true));
    LOG.warn("server_crashed", field("server", server.id()), field("service", server.service()));
    shareChanges();
  }

  private void shareChanges() {
    Suspicions changes = table.suspicions().changesSince(shared);
    shareChangesAt = Instant.MAX;
    if (!changes.equals(Suspicions.NONE)) {
      shared = shared.merge(changes);
      peerBroadcast.accept(changes);
      applyConvictions();
    }
  }

  /**
   * Shares conclusions from what other gateways sent. These draw the same conclusions, so each
   * gateway waits for a different time and sends only what it has not received by then.
   */
  private void scheduleShareOfChanges() {
    boolean hasChanges = !table.suspicions().changesSince(shared).equals(Suspicions.NONE);
    if (hasChanges && shareChangesAt.equals(Instant.MAX)) {
      long window = Math.min(SHARE_WINDOW.toMillis(), SHARE_TIME.toMillis() * gatewayCount);
      int position = Math.floorMod(node.hashCode(), SHARE_POSITIONS);
      shareChangesAt = clock.instant().plusMillis(window * position / SHARE_POSITIONS);
    }
  }

  /** Takes over what another gateway knows. */
  void merge(String sender, Suspicions received) {
    shared = shared.merge(received);
    received.crashes().forEach(repeated::add);
    table.mergePeerState(new NodeName(toName(sender)), received);
    applyConvictions();
    scheduleShareOfChanges();
  }

  /** Takes over a conviction from the platform's store. */
  void mergeStored(Conviction stored) {
    merge("store", new Suspicions(List.of(), List.of(stored)));
    publications.recordStored(stored);
  }

  /** Writes the convictions again that the store does not list, because it has lost records. */
  void publishAgain() {
    Instant now = clock.instant();
    convictions.forEach(conviction -> publications.add(conviction, gatewayCount, now));
  }

  private void applyConvictions() {
    Set<Conviction> current = Set.copyOf(table.suspicions().convictions());
    if (current.equals(convictions)) {
      return;
    }
    Set<Conviction> added = new HashSet<>(current);
    added.removeAll(convictions);
    Set<Conviction> ended = new HashSet<>(convictions);
    ended.removeAll(current);
    convictions = current;
    for (Conviction conviction : added) {
      boolean isRenewed = ended.stream().anyMatch(isSameCause(conviction));
      LOG.warn(
          isRenewed ? "quarantine_renewed" : "quarantined",
          field("fingerprints", conviction.fingerprint()),
          field("until", Instant.ofEpochMilli(conviction.untilMillis())));
      publications.add(conviction, gatewayCount, clock.instant());
    }
    ended.stream()
        .filter(old -> current.stream().noneMatch(isSameCause(old)))
        .forEach(old -> LOG.info("quarantine_ended", field("fingerprints", old.fingerprint())));
    if (!added.isEmpty()) {
      onConviction.run();
    }
  }

  private static Predicate<Conviction> isSameCause(Conviction one) {
    return other -> other.fingerprint().equals(one.fingerprint());
  }

  /**
   * Evaluates crashes that have settled, ends quarantines whose time is over, and shares what is
   * due with the other gateways and with the store.
   */
  void tick(ConvictionStore store, Instant now) {
    if (!isActive()) {
      return;
    }
    table.tick();
    List<Conviction> found = repeated.findCauses(table.suspicions().convictions());
    if (!found.isEmpty()) {
      table.addConvictions(found);
    }
    applyConvictions();
    scheduleShareOfChanges();
    if (!shareChangesAt.isAfter(now)) {
      shareChanges();
    }
    for (Conviction conviction : publications.takeDue(now)) {
      store
          .put(conviction)
          .onSuccess(written -> publications.recordStored(conviction))
          .onFailure(
              cause ->
                  LOG.warn(
                      "conviction_not_stored",
                      field("fingerprints", conviction.fingerprint()),
                      field("cause", cause)));
    }
  }

  /** Returns a valid name for an identifier of the platform, which may have any syntax. */
  private static String toName(String identifier) {
    return Names.isValid(identifier)
        ? identifier
        : Hashing.murmur3_128().hashString(identifier, StandardCharsets.UTF_8).toString();
  }
}
