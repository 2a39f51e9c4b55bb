package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cactusseam.standin.Json;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that daemons which lose contact with each other don't serve with a stale configuration,
 * continue to serve with the backend servers that they still reach, and agree once the links are
 * restored. All cases share one deployment, which each case restores, because starting one for each
 * case would take most of the time.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CutsBetweenDaemonsTest {

  /**
   * Guaranteed bound: no new requests reach a server or domain this long after the record of the
   * order that takes it out.
   */
  private static final Duration ORDER_EFFECT_BOUND = Duration.ofSeconds(7);

  /**
   * Guaranteed bound for the detection of an unresponsive owner and the takeover by its successor.
   */
  private static final Duration TAKEOVER_BOUND = Duration.ofMillis(6_500);

  /** A lease expires this long after the last proof that it is current. */
  private static final Duration LEASE_DURATION = Duration.ofSeconds(3);

  /** Period after a takeover in which responses are counted. */
  private static final Duration COUNTING_PERIOD = Duration.ofSeconds(1);

  /** Timeout for daemons to rejoin, for which no bound is guaranteed. */
  private static final Duration REJOIN_TIMEOUT = Duration.ofSeconds(20);

  /** Number of event loops of a daemon. A pause can interrupt at most one write of each. */
  private static final long EVENT_LOOPS = 2;

  private static final List<String> OST = List.of("entry-1", "entry-2");
  private static final List<String> WEST = List.of("entry-3", "entry-4");
  private static final List<String> ALL = Stream.concat(OST.stream(), WEST.stream()).toList();
  private static final Map<String, String> DOMAINS =
      Map.of(
          "engine-1", "ost-wien",
          "engine-2", "ost-graz",
          "engine-3", "west-ibk",
          "engine-4", "west-ibk");
  private static final Map<String, Region> REGIONS =
      Map.of(
          "ost", new Region(OST, "domain ost-wien", "engine-1"),
          "west", new Region(WEST, "server engine-3", "engine-3"));

  /**
   * A region of the deployment.
   *
   * @param entries entry daemons of the region
   * @param out server or failure domain that an order takes out
   * @param engine engine that receives no new requests afterwards, while another engine of the
   *     region continues to serve
   */
  private record Region(List<String> entries, String out, String engine) {}

  private final SystemUnderTest system = new SystemUnderTest();
  private final PeerProxies peers = new PeerProxies(ALL);
  private final Map<String, TcpProxy> logs = new HashMap<>();

  @BeforeAll
  void start() {
    DOMAINS.keySet().forEach(engine -> system.startEngine(engine, "--cold-limit", "8"));
    Map.of("entry-1", "ost-wien", "entry-2", "ost-graz")
        .forEach((entry, domain) -> startEntry(entry, domain, "ost"));
    WEST.forEach(entry -> startEntry(entry, "west-ibk", "west"));
    system.awaitReady(ALL.toArray(String[]::new));
    system.declareBasics("entry-1");
    DOMAINS.forEach((engine, domain) -> system.declareEngine("entry-1", engine, domain, 8, 16));
    awaitAgreement();
  }

  private void startEntry(String entry, String domain, String region) {
    logs.put(entry, system.startEntryDaemonBehindProxies(entry, domain, region, peers));
  }

  @AfterAll
  void stop() {
    system.close();
    peers.close();
  }

  /** Restores the deployment, so that a failed case does not cause others to fail. */
  @AfterEach
  void restoreDeployment() {
    ALL.forEach(entry -> system.process(entry).signal("CONT"));
    peers.select(link -> true).forEach(TcpProxy::restore);
    logs.values().forEach(TcpProxy::restore);
    awaitAgreement();
    Stream<String> domains = DOMAINS.values().stream().distinct().map(name -> "domain " + name);
    Stream<String> servers = DOMAINS.keySet().stream().map(name -> "server " + name);
    Stream.concat(domains, servers)
        .map(
            what ->
                BackgroundCalls.callAsync(
                    () -> system.runCommand("entry-1", "bring " + what + " in")))
        .toList()
        .forEach(answer -> assertThat(answer.join(), matchesPattern("(?s)(ACCEPTED|UNCHANGED).*")));
    awaitAgreement();
  }

  /**
   * Verifies that all links lead through proxies; otherwise cuts would have no effect and the cases
   * would prove nothing.
   */
  @Test
  void every_daemon_reaches_every_other_only_through_a_proxy() {
    assertThat(peers.areAllProxiesUsed(), is(true));
  }

  private List<TcpProxy> findLinksBetweenRegions() {
    Predicate<PeerProxies.Link> crosses =
        link -> OST.contains(link.from()) != OST.contains(link.to());
    return Stream.concat(peers.select(crosses).stream(), WEST.stream().map(logs::get)).toList();
  }

  private String findOwner(String region) {
    return system
        .runCommand("entry-1", "show shards")
        .lines()
        .filter(line -> line.contains(REGIONS.get(region).engine))
        .map(line -> line.trim().split("\\s+")[1])
        .findFirst()
        .orElseThrow();
  }

  private static String otherDaemon(String region, String entry) {
    List<String> entries = REGIONS.get(region).entries;
    return entries.get(1 - entries.indexOf(entry));
  }

  @ParameterizedTest(name = "link {0}, {1} and {2} taken out")
  @CsvSource({
    "closed, domain ost-wien, engine-1, domain west-ibk",
    "silent, server engine-2, engine-2, server engine-3"
  })
  void separated_regions_continue_to_serve_and_orders_take_effect(
      String kind, String inOst, String engineInOst, String inWest) {
    List<TcpProxy> link = findLinksBetweenRegions();
    try (BackgroundCallers callers = new BackgroundCallers(system, ALL)) {
      link.forEach(kind.equals("closed") ? TcpProxy::cut : TcpProxy::stall);
      long cutAt = System.currentTimeMillis();
      CompletableFuture<Order> west = sendTakeOut(inWest, "entry-2");
      Order ost = sendTakeOut(inOst, "entry-1").join();
      pauseUntil(cutAt + LEASE_DURATION.plus(COUNTING_PERIOD).toMillis());
      boolean answered = west.isDone();
      final long restoredAt = System.currentTimeMillis();
      final long receivedInWest =
          countReceived("engine-3", cutAt) + countReceived("engine-4", cutAt);
      link.forEach(TcpProxy::restore);
      awaitAccepted(west.join());
      long acceptedInWest = System.currentTimeMillis();
      awaitAgreement();

      assertThat(ost.answer, startsWith("ACCEPTED"));
      assertThat("order was answered although its owner was unreachable", answered, is(false));
      assertThat("requests received in west during the cut", receivedInWest, greaterThan(0L));
      for (String entry : ALL) {
        assertThat(
            "complete responses at " + entry,
            callers.countComplete(entry, cutAt + LEASE_DURATION.toMillis(), restoredAt),
            greaterThan(0L));
      }
      assertNoneReceived(engineInOst, ost.effectiveAt());
      assertNoneReceived("engine-3", acceptedInWest);
      callers.close();
      assertThat(callers.findWrongAnswers(), empty());
    }
  }

  /**
   * In each region, the owner of a shard fails: one is cut off from its peers, the other one is
   * paused. In one case the owner is also cut off from the log, so that only the expiry of its
   * lease stops it. A daemon that cannot reach the owner may answer that the order is waiting, but
   * the order must still take effect within the bound.
   *
   * <p>The paused daemon may be stopped between its last check of a permit and the write to the
   * connection, which is a known limit of the guarantees. It logs each such write as {@code
   * request_sent_late} when it continues, and no other request may arrive late.
   */
  @ParameterizedTest(
      name = "owner in {0} cut off from {2} ({1}), order sent to the {3}; owner in {4} paused")
  @CsvSource({"ost, closed, peers and log, other, west", "west, silent, peers, owner, ost"})
  void an_owner_that_is_cut_off_or_paused_complies_with_orders(
      String regionOfCut, String kind, String cut, String at, String regionOfPausedOwner) {
    String cutOffOwner = findOwner(regionOfCut);
    String pausedOwner = findOwner(regionOfPausedOwner);
    String running = otherDaemon(regionOfPausedOwner, pausedOwner);
    String engineOfPausedOwner = REGIONS.get(regionOfPausedOwner).engine;
    final long sentLateBefore = countSentLate(pausedOwner, engineOfPausedOwner);
    List<TcpProxy> links = new ArrayList<>(peers.select(link -> link.involves(cutOffOwner)));
    if (cut.contains("log")) {
      links.add(logs.get(cutOffOwner));
    }
    try (BackgroundCallers callers = new BackgroundCallers(system, ALL)) {
      system.process(pausedOwner).signal("STOP");
      links.forEach(kind.equals("closed") ? TcpProxy::cut : TcpProxy::stall);
      final long from = System.currentTimeMillis() + TAKEOVER_BOUND.toMillis();
      CompletableFuture<Order> orderForCutOffOwner =
          sendTakeOut(
              REGIONS.get(regionOfCut).out,
              at.equals("owner") ? cutOffOwner : otherDaemon(regionOfCut, cutOffOwner));
      Order orderForPausedOwner = sendTakeOut(REGIONS.get(regionOfPausedOwner).out, running).join();
      pauseUntil(
          orderForPausedOwner.recordedAt + ORDER_EFFECT_BOUND.plus(COUNTING_PERIOD).toMillis());
      final long until = System.currentTimeMillis();
      system.process(pausedOwner).signal("CONT");
      links.forEach(TcpProxy::restore);
      awaitAccepted(orderForPausedOwner);
      awaitAccepted(orderForCutOffOwner.join());
      awaitAgreement();

      long sentLate = countSentLate(pausedOwner, engineOfPausedOwner) - sentLateBefore;
      assertThat("writes interrupted by the pause", sentLate, lessThanOrEqualTo(EVENT_LOOPS));
      assertAtMostReceived(sentLate, engineOfPausedOwner, orderForPausedOwner.effectiveAt());
      assertNoneReceived(REGIONS.get(regionOfCut).engine, orderForCutOffOwner.join().effectiveAt());
      assertThat(
          "complete responses", callers.countComplete(running, from, until), greaterThan(0L));
      long completeInRegionOfCut =
          REGIONS.get(regionOfCut).entries.stream()
              .mapToLong(entry -> callers.countComplete(entry, from, until))
              .sum();
      assertThat(
          "complete responses in the region of the owner that was cut off",
          completeInRegionOfCut,
          greaterThan(0L));
      callers.close();
      assertThat(callers.findWrongAnswers(), empty());
    }
  }

  /**
   * An order that was sent.
   *
   * @param id command id
   * @param recordedAt time at which the log recorded it, in milliseconds since the epoch
   * @param answer response to the operator
   * @param answeredAt time of the response, in milliseconds since the epoch
   */
  private record Order(String id, long recordedAt, String answer, long answeredAt) {

    long effectiveAt() {
      long bound = recordedAt + ORDER_EFFECT_BOUND.toMillis();
      return answer.startsWith("ACCEPTED") ? Math.min(bound, answeredAt) : bound;
    }
  }

  private CompletableFuture<Order> sendTakeOut(String what, String entry) {
    return BackgroundCalls.callAsync(
        () -> {
          String id = java.util.UUID.randomUUID().toString();
          String answer = system.runCommand(entry, "take " + what + " out", id);
          return new Order(id, recordedAt(id), answer, System.currentTimeMillis());
        });
  }

  private long recordedAt(String id) {
    String path = "/streams/control/records?from=0&limit=10000&wait_ms=0";
    for (var record : Json.parseObject(Http.get(system.port("log"), path)).path("records")) {
      if (record.path("value").asText().contains(id)) {
        return record.path("appended_at_ms").asLong();
      }
    }
    throw new AssertionError("the control log has no record of command " + id);
  }

  private void awaitAccepted(Order order) {
    for (String entry : ALL) {
      Eventually.await(
          "accepted at " + entry,
          REJOIN_TIMEOUT,
          () -> system.runCommand(entry, "show command " + order.id).startsWith("ACCEPTED"));
    }
  }

  /**
   * Waits until all daemons show the same configuration, within the bound for orders, and then the
   * same active members and shard owners.
   */
  private void awaitAgreement() {
    for (String listing : List.of("servers", "domains")) {
      Eventually.await(
          "the same " + listing, ORDER_EFFECT_BOUND, () -> collectListings(listing).size() == 1);
    }
    Eventually.await("all daemons are active", REJOIN_TIMEOUT, this::areAllActive);
    Eventually.await(
        "the same owners", REJOIN_TIMEOUT, () -> collectListings("shards").size() == 1);
  }

  private boolean areAllActive() {
    Set<String> shown = collectListings("nodes");
    String nodes = shown.iterator().next();
    long active = nodes.lines().filter(line -> line.contains(" active")).count();
    return shown.size() == 1 && active == ALL.size();
  }

  private Set<String> collectListings(String listing) {
    return ALL.stream()
        .map(entry -> system.runCommand(entry, "show " + listing))
        .collect(Collectors.toSet());
  }

  private long countReceived(String engine, long afterMillis) {
    return system.readNumber(engine, "/violations?after_ms=" + afterMillis, "received_after");
  }

  private void assertNoneReceived(String engine, long afterMillis) {
    assertAtMostReceived(0, engine, afterMillis);
  }

  /**
   * Returns how many requests a daemon has logged as sent to an engine after their permit had
   * expired.
   */
  private long countSentLate(String entry, String engine) {
    return system
        .process(entry)
        .output()
        .lines()
        .filter(line -> line.contains("request_sent_late") && line.contains(engine))
        .count();
  }

  private void assertAtMostReceived(long sentLate, String engine, long afterMillis) {
    assertThat(
        "requests received after the order by " + engine,
        countReceived(engine, afterMillis),
        lessThanOrEqualTo(sentLate));
    assertThat(system.readNumber(engine, "/violations", "cold_violations"), is(0L));
  }

  private static void pauseUntil(long millis) {
    Eventually.pause(Duration.ofMillis(Math.max(0, millis - System.currentTimeMillis())));
  }
}
