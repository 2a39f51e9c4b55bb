package org.cactusseam.logic.quarantine;

import com.google.common.hash.Hashing;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
 * Knows at one node which requests may have crashed backend servers, so that a request that crashes
 * every server takes few of them with it.
 *
 * <p>Every request that ran on a crashed server is a suspect, and a suspect runs only where no
 * other suspect runs; its next crash then shows whether it is the cause. The failure of a suspect
 * is answered only after the owners know of the crash ({@link #isKnownToOwners}), so its caller
 * cannot send it again to an owner that knows nothing.
 *
 * <p>Bound: a request that is sent again after each failure crashes 2 servers. With c copies that
 * run at the same time the bound is 2 c, because all of them run before the first crash is known.
 * An owner that stays unreachable for {@link #FAILURE_HOLD_LIMIT} does not know of the crash; each
 * group of nodes that exchange nothing with the others has its own bound of 2. Without holding back
 * failures, each shard that has not learned yet is such a group.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class QuarantineTable {

  /** Time after which crashes and convictions are forgotten. */
  public static final Duration RETENTION = Duration.ofMinutes(10);

  /** Longest time for which the failure of a suspect is held back from its caller. */
  public static final Duration FAILURE_HOLD_LIMIT = Duration.ofSeconds(2);

  /** Reports from further in the future come from a wrong clock and would be kept too long. */
  private static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(1);

  private final NodeName node;
  private final Clock clock;
  private final Map<NodeName, Set<CrashId>> knownBy = new HashMap<>();
  private Suspicions suspicions = Suspicions.NONE;
  private long digest = digestOf(Suspicions.NONE);
  private Set<String> suspects = Set.of();
  private Set<String> convicted = Set.of();

  /**
   * Creates a table that knows nothing.
   *
   * @param node this node
   * @param clock source of time
   */
  public QuarantineTable(NodeName node, Clock clock) {
    this.node = node;
    this.clock = clock;
  }

  /**
   * Notes that a backend server crashed: a stream broke, and the server's incarnation changed or it
   * refused a connection. A second report of the same crash adds to the first.
   *
   * @param server backend server
   * @param incarnation run of the server that ended
   * @param running fingerprints of all requests that ran there and had not ended
   * @return identity of the report
   */
  public CrashId recordCrash(
      BackendServerName server, String incarnation, Collection<String> running) {
    CrashId id =
        suspicions.crashes().stream()
            .map(CrashReport::id)
            .filter(known -> known.server().equals(server))
            .filter(known -> known.incarnation().equals(incarnation))
            .filter(known -> known.reporter().equals(node))
            .findFirst()
            .orElseGet(() -> new CrashId(server, incarnation, node, clock.millis()));
    CrashReport report = new CrashReport(id, new HashSet<>(running), Set.of(), true);
    update(suspicions.merge(new Suspicions(List.of(report), List.of())));
    return id;
  }

  /**
   * Notes that a request ended normally. Broken, cancelled and refused attempts do not count: they
   * do not show that the request is harmless.
   *
   * @param fingerprint fingerprint of the request
   */
  public void recordCompletion(String fingerprint) {
    if (suspects.contains(fingerprint)) {
      List<CrashReport> cleared =
          suspicions.crashes().stream().map(report -> report.clear(fingerprint)).toList();
      update(new Suspicions(cleared, suspicions.convictions()));
    }
  }

  /**
   * Learns what a peer knows.
   *
   * @param peer peer
   * @param theirs its value
   */
  public void mergePeerState(NodeName peer, Suspicions theirs) {
    knownBy.put(peer, identities(theirs));
    update(suspicions.merge(theirs));
  }

  /**
   * Notes the digest that a peer's ping or pong carries.
   *
   * @param peer peer
   * @param theirs digest of its value
   * @return whether the peer's value differs, so that this node sends it {@link #suspicions}
   */
  public boolean checkPeerDigest(NodeName peer, long theirs) {
    if (theirs != digest) {
      return true;
    }
    knownBy.put(peer, identities(suspicions));
    return false;
  }

  private static Set<CrashId> identities(Suspicions value) {
    return value.crashes().stream().map(CrashReport::id).collect(Collectors.toSet());
  }

  /** Lets time pass: forgets what is older than {@link #RETENTION}. */
  public void tick() {
    update(suspicions);
  }

  private void update(Suspicions next) {
    Suspicions current = current(next);
    if (current.equals(suspicions)) {
      return; // what follows depends on the value alone
    }
    long memory = RETENTION.toMillis();
    List<Conviction> found = new ArrayList<>();
    CrashCauses.causes(current.crashes())
        .forEach((cause, last) -> found.add(new Conviction(cause, last + memory)));
    suspicions = current.merge(new Suspicions(List.of(), found));
    digest = digestOf(suspicions);
    convicted =
        suspicions.convictions().stream().map(Conviction::fingerprint).collect(Collectors.toSet());
    suspects = CrashCauses.suspects(suspicions.crashes(), convicted);
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
   * Tells whether a request may run on a backend server now.
   *
   * @param fingerprint fingerprint of the request
   * @param running fingerprints of the requests that run there
   * @return the answer
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
   * Tells whether a request is refused everywhere.
   *
   * @param fingerprint fingerprint of the request
   * @return true until {@link #RETENTION} after its last crash
   */
  public boolean isQuarantined(String fingerprint) {
    return convicted.contains(fingerprint);
  }

  /**
   * Tells whether a request may have caused a crash.
   *
   * @param fingerprint fingerprint of the request
   * @return true if it ran in a crash whose cause is not known, and has not ended normally since
   */
  public boolean isSuspect(String fingerprint) {
    return suspects.contains(fingerprint);
  }

  /**
   * Tells whether the failures of a crash may be answered or retried.
   *
   * @param crash report
   * @param owners nodes that must know of it: the owners of the shards of the pool
   * @return true if all of them do, or {@link #FAILURE_HOLD_LIMIT} passed since the report
   */
  public boolean isKnownToOwners(CrashId crash, Collection<NodeName> owners) {
    long limit = clock.instant().minus(FAILURE_HOLD_LIMIT).toEpochMilli();
    return crash.atMillis() <= limit || owners.stream().allMatch(owner -> knows(owner, crash));
  }

  private boolean knows(NodeName owner, CrashId crash) {
    Stream<CrashId> known = Optional.ofNullable(knownBy.get(owner)).stream().flatMap(Set::stream);
    return owner.equals(node) || known.anyMatch(crash::equals);
  }

  /**
   * Returns what this node knows, for its peers.
   *
   * @return bounded value
   */
  public Suspicions suspicions() {
    return suspicions;
  }

  /**
   * Returns a digest of {@link #suspicions}. Pings carry it, and a node sends the value to a peer
   * whose digest differs from its own.
   *
   * @return hash; equal values have equal hashes on every VM
   */
  public long digest() {
    return digest;
  }

  private static long digestOf(Suspicions value) {
    return Hashing.murmur3_128().hashUnencodedChars(value.toString()).asLong();
  }
}
