package org.cactusseam.logic.gateway;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Replays a fixed sequence of requests, ends of requests, failures and peer messages, and records
 * which server each request gets.
 */
final class ServerChoiceReplay {

  private static final int CHOICES = 400;
  private static final int SERVERS_PER_SERVICE = 8;
  private static final String[] DOMAINS = {"ost-wien", "ost-graz", "west-ibk"};

  final PausedClock clock = new PausedClock(Instant.EPOCH);
  private final Random random = new Random(7);
  private final ServerTable servers = new ServerTable();
  private final ServerLoads loads = new ServerLoads();
  final ServerPaces paces = new ServerPaces();
  private final ServerHealth health = new ServerHealth();
  private final LeavingServers leavingServers = new LeavingServers();
  private final Deque<Run> running = new ArrayDeque<>();
  private final ServerSelector selector =
      new ServerSelector(
          clock,
          new ServerSelector.Location(
              "ost-wien", Map.of("ost-wien", "ost", "ost-graz", "ost", "west-ibk", "west")),
          servers,
          loads,
          paces,
          health,
          leavingServers,
          new EngineReports(),
          new ColdLimit.Tolerance(1.5, 5));

  private record Run(String server, int tokens, int prompt) {}

  /** Returns the chosen servers, one letter each: upper case for engines, '-' for none. */
  String choices() {
    for (int number = 0; number < SERVERS_PER_SERVICE; number++) {
      String domain = DOMAINS[number % DOMAINS.length];
      servers.put(GatewayFixtures.server(letter('A', number), "engines", domain), clock.instant());
      servers.put(GatewayFixtures.server(letter('a', number), "plain", domain), clock.instant());
    }
    StringBuilder chosen = new StringBuilder();
    while (chosen.length() < CHOICES) {
      clock.advance(random.nextInt(40));
      disturb();
      boolean onEngine = random.nextBoolean();
      Optional<String> server = choose(onEngine);
      chosen.append(server.orElse("-"));
    }
    return chosen.toString();
  }

  private Optional<String> choose(boolean onEngine) {
    GatewayService service = onEngine ? GatewayFixtures.ENGINES : GatewayFixtures.PLAIN;
    int tokens = onEngine ? 500 + random.nextInt(4_000) : 0;
    Optional<String> server =
        selector
            .choose(
                new ServerSelector.Requirements(
                    service, Set.of(), tokens, Set.of(), random.nextInt()))
            .map(ServerInstance::id);
    server.ifPresent(
        id -> {
          loads.addRun(id, tokens);
          loads.startPrefill(id, tokens / 2);
          running.add(new Run(id, tokens, tokens / 2));
        });
    return server;
  }

  private void disturb() {
    while (running.size() > 60 + random.nextInt(120)) {
      Run ended = running.remove();
      loads.endPrefill(ended.server(), ended.prompt());
      loads.removeRun(ended.server(), ended.tokens());
      health.recordSuccess(ended.server());
    }
    String server = letter(random.nextBoolean() ? 'A' : 'a', random.nextInt(SERVERS_PER_SERVICE));
    switch (random.nextInt(12)) {
      case 0 -> health.recordFailure(server);
      case 1 -> health.recordUnreachable(server, clock.instant());
      case 2 ->
          loads.setPeerLoads(
              "vm-2",
              Map.of(
                  server, new ServerLoads.ServerLoad(random.nextInt(8), random.nextInt(9_000), 0)),
              clock.instant());
      default -> {
        // Most requests arrive without a disturbance in between.
      }
    }
  }

  private static String letter(char first, int number) {
    return String.valueOf((char) (first + number));
  }
}
