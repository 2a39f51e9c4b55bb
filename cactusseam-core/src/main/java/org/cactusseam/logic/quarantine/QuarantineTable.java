package org.cactusseam.logic.quarantine;

import com.google.common.hash.Hashing;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;
import org.cactusseam.model.quarantine.Suspicions;

/**
 * Tracks on one entry daemon which requests may have crashed backend servers, so that a request
 * that crashes every server it runs on crashes only few of them.
 *
 * <p>Every request that ran on a crashed server is a suspect. A suspect runs only on servers
 * without another suspect, so that its next crash shows whether it is the cause. The failure of a
 * suspect is returned to its caller only after the owners know of the crash ({@link
 * #isKnownToOwners}), so that the caller cannot send the request again to an owner that does not
 * know of it.
 *
 * <p>Bound: a request that is sent again after each failure crashes at most 2 servers. With c
 * copies that run at the same time the bound is 2 c, because all of them run before the first crash
 * is known. An owner that stays unreachable for {@link #FAILURE_HOLD_LIMIT} does not know of the
 * crash; each group of daemons that is partitioned from the others has its own bound of 2. If
 * failures were not held back, each shard whose owner does not know of the crash yet would be such
 * a group.
 *
 * <p>Not thread-safe; used by the control thread only.
 */
public final class QuarantineTable {

  /**
   * Retention period of crash reports, and the time from the last crash to the end of a quarantine.
   */
  public static final Duration RETENTION = Duration.ofMinutes(10);

  /** Maximum time for which the failure of a suspect is held back from its caller. */
  public static final Duration FAILURE_HOLD_LIMIT = Duration.ofSeconds(2);

  /**
   * Maximum clock difference. Reports from further in the future come from a wrong clock and would
   * be retained too long.
   */
  private static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(1);

  /** Interval of the search for reports and quarantines that have ended. */
  private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

  /** Bounds the memory for answers; the oldest are forgotten first. */
  private static final int MAXIMUM_ANSWERS = 4_096;

  private final NodeName node;
  private final Clock clock;
  private final ConvictionPolicy policy;
  private final Map<NodeName, Set<CrashId>> knownBy = new HashMap<>();

  /** When this daemon learned of each crash, in milliseconds since 1970. */
  private final Map<CrashId, Long> knownSince = new HashMap<>();

  private Suspicions suspicions = Suspicions.NONE;
  private long digest = digestOf(Suspicions.NONE);
  private Set<String> suspects = Set.of();
  private List<Set<String>> convicted = List.of();

  /** When requests with a fingerprint were last answered, in milliseconds since 1970. */
  private final Map<String, Long> answeredAt = new LinkedHashMap<>();

  private final long createdAtMillis;
  private long evaluatedAtMillis;
  private long expiredAtMillis;

  /**
   * Creates a table without crashes for requests with one fingerprint each.
   *
   * @param node name of this entry daemon
   * @param clock time source
   */
  public QuarantineTable(NodeName node, Clock clock) {
    this(node, clock, ConvictionPolicy.WHOLE_REQUESTS);
  }

  /**
   * Creates a table without crashes.
   *
   * @param node name of this entry daemon
   * @param clock time source
   * @param policy evidence that quarantines a cause; the same on all daemons
   */
  public QuarantineTable(NodeName node, Clock clock, ConvictionPolicy policy) {
    this.node = node;
    this.clock = clock;
    this.policy = policy;
    this.createdAtMillis = clock.millis();
  }

  /**
   * Records that a backend server crashed: a stream broke, and the server's incarnation changed or
   * it refused a connection. A second call for the same crash adds its requests to the first
   * report.
   *
   * @param server backend server that crashed
   * @param incarnation process run of the server that ended
   * @param running fingerprints of all requests that ran there and had not ended
   * @return identity of the report
   */
  public CrashId recordCrash(
      BackendServerName server, String incarnation, Collection<String> running) {
    return recordCrash(server, incarnation, running, false);
  }

  /**
   * Records that a backend server crashed.
   *
   * @param server backend server that crashed
   * @param incarnation process run of the server that ended
   * @param running fingerprints of requests that ran there and had not ended
   * @param started whether the server had started to answer these requests
   * @return identity of the report
   */
  public CrashId recordCrash(
      BackendServerName server, String incarnation, Collection<String> running, boolean started) {
    CrashId id =
        suspicions.crashes().stream()
            .map(CrashReport::id)
            .filter(known -> known.server().equals(server))
            .filter(known -> known.incarnation().equals(incarnation))
            .filter(known -> known.reporter().equals(node))
            .findFirst()
            .orElseGet(() -> new CrashId(server, incarnation, node, clock.millis()));
    Set<String> fingerprints = Set.copyOf(running);
    CrashReport report =
        new CrashReport(id, fingerprints, Set.of(), true, started ? fingerprints : Set.of());
    update(suspicions.merge(new Suspicions(List.of(report), List.of())));
    return id;
  }

  /**
   * Records that a request ended normally, so that it is no longer a suspect of the crashes
   * reported so far. To be called for completed attempts only: broken, cancelled and refused
   * attempts do not show that the request is harmless.
   *
   * @param fingerprint fingerprint of the request
   */
  public void recordCompletion(String fingerprint) {
    if (!policy.vouching().isZero()) {
      answeredAt.remove(fingerprint); // moves it to the end of the order
      answeredAt.put(fingerprint, clock.millis());
      forgetOldAnswers();
    }
    if (suspicions.crashes().stream().anyMatch(report -> report.suspects().contains(fingerprint))) {
      List<CrashReport> cleared =
          suspicions.crashes().stream().map(report -> report.clear(fingerprint)).toList();
      update(new Suspicions(cleared, suspicions.convictions()));
    }
  }

  private void forgetOldAnswers() {
    long oldest = clock.millis() - policy.vouching().toMillis();
    Iterator<Long> times = answeredAt.values().iterator();
    while (times.hasNext() && (times.next() < oldest || answeredAt.size() > MAXIMUM_ANSWERS)) {
      times.remove();
    }
  }

  /**
   * Merges the quarantine state of a peer.
   *
   * @param peer daemon that sent the state
   * @param peerState state of the peer
   */
  public void mergePeerState(NodeName peer, Suspicions peerState) {
    knownBy.put(peer, identities(peerState));
    update(suspicions.merge(peerState));
  }

  /**
   * Compares the digest in a peer's ping or pong with the own digest. If they are equal, the peer
   * knows of all crashes that this daemon knows of.
   *
   * @param peer daemon that sent the digest
   * @param peerDigest digest of the peer's state
   * @return whether the states differ, so that this daemon has to send {@link #suspicions} to the
   *     peer
   */
  public boolean checkPeerDigest(NodeName peer, long peerDigest) {
    if (peerDigest != digest) {
      return true;
    }
    knownBy.put(peer, identities(suspicions));
    return false;
  }

  /**
   * Adds quarantines that other evidence than the reports of this table has shown.
   *
   * @param convictions causes and the ends of their quarantines
   */
  public void addConvictions(List<Conviction> convictions) {
    update(suspicions.merge(new Suspicions(List.of(), convictions)));
  }

  private static Set<CrashId> identities(Suspicions value) {
    return value.crashes().stream().map(CrashReport::id).collect(Collectors.toSet());
  }

  /**
   * Removes crash reports older than {@link #RETENTION} and quarantines that have ended, and
   * evaluates the crashes that have settled since the last call. To be called periodically.
   */
  public void tick() {
    boolean isExpiryDue = clock.millis() - expiredAtMillis >= EXPIRY_INTERVAL.toMillis();
    if (isExpiryDue || hasCrashSettled()) {
      expiredAtMillis = clock.millis();
      update(suspicions);
    }
  }

  private void update(Suspicions next) {
    Suspicions current = withVouchedCleared(current(next));
    if (current.equals(suspicions) && !hasCrashSettled()) {
      return; // everything below is derived from the state and the settled crashes alone
    }
    evaluatedAtMillis = clock.millis();
    knownSince.keySet().retainAll(identities(current));
    identities(current).forEach(id -> knownSince.putIfAbsent(id, clock.millis()));
    long memory = RETENTION.toMillis();
    List<Conviction> found = new ArrayList<>();
    CrashCauses.causes(
            settled(current.crashes()),
            current.convictions(),
            policy,
            id -> knownSince.getOrDefault(id, 0L))
        .forEach((cause, last) -> found.add(new Conviction(cause, last + memory)));
    suspicions = current.merge(new Suspicions(List.of(), found));
    digest = digestOf(suspicions);
    convicted = suspicions.convictions().stream().map(Conviction::fingerprints).toList();
    suspects = CrashCauses.suspects(suspicions.crashes(), suspicions.convictions());
  }

  private boolean hasCrashSettled() {
    long now = clock.millis();
    return knownSince.values().stream()
        .mapToLong(this::settledAtMillis)
        .anyMatch(settledAt -> settledAt > evaluatedAtMillis && settledAt <= now);
  }

  private List<CrashReport> settled(List<CrashReport> reports) {
    long now = clock.millis();
    return reports.stream()
        .filter(report -> settledAtMillis(knownSince.getOrDefault(report.id(), 0L)) <= now)
        .toList();
  }

  /**
   * Returns when a crash counts. A table that was created a short time ago knows too few answers to
   * tell a common part from a cause.
   */
  private long settledAtMillis(long knownSinceMillis) {
    return Math.max(
        knownSinceMillis + policy.settling().toMillis(),
        createdAtMillis + policy.vouching().toMillis());
  }

  /** Clears in crashes that were not known before what was answered shortly before. */
  private Suspicions withVouchedCleared(Suspicions value) {
    if (answeredAt.isEmpty() || knownSince.keySet().containsAll(identities(value))) {
      return value;
    }
    long oldest = clock.millis() - policy.vouching().toMillis();
    List<CrashReport> reports = new ArrayList<>();
    for (CrashReport report : value.crashes()) {
      CrashReport cleared = report;
      if (!knownSince.containsKey(report.id())) {
        for (String suspect : report.suspects()) {
          if (answeredAt.getOrDefault(suspect, Long.MIN_VALUE) >= oldest) {
            cleared = cleared.clear(suspect);
          }
        }
      }
      reports.add(cleared);
    }
    return new Suspicions(reports, value.convictions());
  }

  private Suspicions current(Suspicions value) {
    Instant now = clock.instant();
    long oldest = now.minus(RETENTION).toEpochMilli();
    long newest = now.plus(CLOCK_TOLERANCE).toEpochMilli();
    return value.filter(
        report -> report.id().atMillis() > oldest && report.id().atMillis() <= newest,
        conviction ->
            conviction.untilMillis() > now.toEpochMilli()
                && conviction.untilMillis() <= newest + RETENTION.toMillis());
  }

  /**
   * Returns whether a request may run on a backend server now.
   *
   * @param fingerprint fingerprint of the request
   * @param running fingerprints of the requests that run on the server
   */
  public QuarantineDecision decide(String fingerprint, Collection<String> running) {
    if (isQuarantined(fingerprint)) {
      return QuarantineDecision.QUARANTINED;
    }
    boolean besideSuspect =
        running.stream().anyMatch(other -> !other.equals(fingerprint) && suspects.contains(other));
    return isSuspect(fingerprint) && besideSuspect
        ? QuarantineDecision.ISOLATION_REQUIRED
        : QuarantineDecision.ALLOWED;
  }

  /**
   * Returns whether a request is quarantined, that is, refused everywhere.
   *
   * @param fingerprint fingerprint of the request
   * @return true until {@link #RETENTION} after its last crash
   */
  public boolean isQuarantined(String fingerprint) {
    return isQuarantined(Set.of(fingerprint));
  }

  /**
   * Returns whether a request with several fingerprints is quarantined, that is, refused
   * everywhere.
   *
   * @param fingerprints all fingerprints of the request
   * @return true until {@link #RETENTION} after the last crash of a cause that the request has
   */
  public boolean isQuarantined(Set<String> fingerprints) {
    return convicted.stream().anyMatch(fingerprints::containsAll);
  }

  /**
   * Returns whether a request may have caused a crash.
   *
   * @param fingerprint fingerprint of the request
   * @return true if it ran on a server that crashed for an unknown cause, and has not ended
   *     normally since
   */
  public boolean isSuspect(String fingerprint) {
    return suspects.contains(fingerprint);
  }

  /**
   * Returns whether the failures that a crash caused may be returned to the callers or retried.
   *
   * @param crash identity of the crash report
   * @param owners daemons that must know of the crash: the owners of the shards of the pool
   * @return true if all owners know of the crash, or {@link #FAILURE_HOLD_LIMIT} has passed since
   *     the report
   */
  public boolean isKnownToOwners(CrashId crash, Collection<NodeName> owners) {
    long limit = clock.instant().minus(FAILURE_HOLD_LIMIT).toEpochMilli();
    return crash.atMillis() <= limit || owners.stream().allMatch(owner -> knows(owner, crash));
  }

  private boolean knows(NodeName owner, CrashId crash) {
    Stream<CrashId> known = Optional.ofNullable(knownBy.get(owner)).stream().flatMap(Set::stream);
    return owner.equals(node) || known.anyMatch(crash::equals);
  }

  /** Returns the quarantine state of this daemon, of bounded size, to be sent to its peers. */
  public Suspicions suspicions() {
    return suspicions;
  }

  /**
   * Returns a digest of {@link #suspicions}. Pings carry it, and a daemon sends its state to a peer
   * whose digest differs from its own.
   *
   * @return hash; equal states have equal hashes on every VM
   */
  public long digest() {
    return digest;
  }

  private static long digestOf(Suspicions value) {
    return Hashing.murmur3_128().hashUnencodedChars(value.toString()).asLong();
  }
}
