package org.cactusseam.system;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cactusseam.standin.FreePorts;
import org.cactusseam.standin.Json;

/**
 * A deployment of separate processes on the loopback interface: stand-ins of the platform and of
 * backend servers, and entry daemons. Two regions: {@code ost} with failure domains {@code
 * ost-wien} and {@code ost-graz}, {@code west} with {@code west-ibk}.
 */
final class SystemUnderTest implements AutoCloseable {

  static final String ACCOUNT = "salon";
  static final String KEY = "key-of-salon";
  static final String OPERATOR_KEY = "key-of-operator";
  private static final String STANDIN = "org.cactusseam.standin.StandInMain";
  private static final String MAIN = "org.cactusseam.cli.Main";
  private static final Duration START = Duration.ofSeconds(40);

  /** Time for an expelled daemon to join again and to become active. */
  private static final Duration ACTIVE_AGAIN = Duration.ofSeconds(15);

  final Path folder;
  final int logPort = FreePorts.next();
  final int listPort = FreePorts.next();
  final Map<String, ChildProcess> processes = new LinkedHashMap<>();
  final Map<String, Integer> ports = new LinkedHashMap<>();
  final Map<String, Integer> adminPorts = new LinkedHashMap<>();
  private final List<TcpProxy> relays = new ArrayList<>();
  private final Map<String, String> machines = new LinkedHashMap<>();
  private final Map<String, Path> settings = new LinkedHashMap<>();
  private final Map<String, String> tls = new LinkedHashMap<>();
  private final Map<String, List<String>> options = new LinkedHashMap<>();
  private final Map<String, Integer> operatorPorts = new LinkedHashMap<>();

  SystemUnderTest() {
    try {
      folder = Files.createTempDirectory("cactusseam-system");
      Files.writeString(folder.resolve("cluster.key"), "cluster-key-of-at-least-32-characters");
      Files.writeString(folder.resolve("operators"), "tester " + sha256(OPERATOR_KEY) + "\n");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startStandIn("log", logPort, List.of("log"));
    startStandIn("vm-list", listPort, List.of("vm-list"));
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private void startStandIn(String name, int port, List<String> arguments) {
    int admin = FreePorts.next();
    List<String> all = new ArrayList<>(arguments);
    all.addAll(List.of("--port", Integer.toString(port)));
    all.addAll(List.of("--admin-port", Integer.toString(admin)));
    ports.put(name, port);
    adminPorts.put(name, admin);
    processes.put(name, ChildProcess.start(folder, name, STANDIN, all));
  }

  private void awaitListening(String name) {
    Eventually.await(
        name + " listens", START, () -> processes.get(name).output().contains("listening"));
  }

  /** Starts an engine whose outputs are as long as {@code max_tokens} allows. */
  void engine(String name, String... options) {
    List<String> arguments =
        new ArrayList<>(List.of("engine", "--output-median", "1000000", "--output-spread", "0"));
    arguments.addAll(List.of(options));
    startStandIn(name, FreePorts.next(), arguments);
  }

  void plainService(String name, String... options) {
    List<String> arguments = new ArrayList<>(List.of("plain-service"));
    arguments.addAll(List.of(options));
    startStandIn(name, FreePorts.next(), arguments);
  }

  /** Starts an entry daemon that reaches the log only through a relay, which the test can cut. */
  TcpProxy entryBehindRelay(String name, String domain, String region) {
    TcpProxy relay = new TcpProxy(logPort);
    relays.add(relay);
    entry(name, domain, region, relay.port(), FreePorts.next());
    return relay;
  }

  /** Starts an entry daemon that reaches the log and its peers only through relays. */
  TcpProxy entryBehindRelays(String name, String domain, String region, PeerProxies peers) {
    TcpProxy relay = new TcpProxy(logPort);
    relays.add(relay);
    options.put(name, List.of(peers.option(name)));
    entry(name, domain, region, relay.port(), peers.peerPort(name));
    return relay;
  }

  /** Starts an entry daemon that talks to callers and operators over TLS. */
  void entryWithTls(String name, String domain, String region, TestCertificate certificate) {
    String files =
        "{certificate-file: %s, private-key-file: %s}"
            .formatted(certificate.chainFile(), certificate.keyFile());
    tls.put(name, "tls: {caller: %s, operator: %s}".formatted(files, files));
    entry(name, domain, region);
  }

  void entry(String name, String domain, String region) {
    entry(name, domain, region, logPort, FreePorts.next());
  }

  private void entry(String name, String domain, String region, int logAddress, int peer) {
    int caller = FreePorts.next();
    int operator = FreePorts.next();
    String yaml =
        """
        deployment: zopfwerk
        node: %s
        failure-domain: %s
        region: %s
        addresses:
          caller: {host: 127.0.0.1, port: %d}
          operator: {host: 127.0.0.1, port: %d}
          peer: {host: 127.0.0.1, port: %d}
        keys:
          cluster-key-file: cluster.key
          operator-keys-file: operators
        platform:
          log-url: http://127.0.0.1:%d
          vm-list-url: http://127.0.0.1:%d
          vm-list-lag: 5s
        logging:
          format: text
        %s
        """
            .formatted(
                name,
                domain,
                region,
                caller,
                operator,
                peer,
                logAddress,
                listPort,
                tls.getOrDefault(name, ""));
    Path file = folder.resolve(name + ".yaml");
    try {
      Files.writeString(file, yaml);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    settings.put(name, file);
    ports.put(name, caller);
    operatorPorts.put(name, operator);
    machines.put(
        name,
        """
        {"name":"%s","host":"127.0.0.1","peer_port":%d,"failure_domain":"%s","region":"%s",\
        "state":"live"}"""
            .formatted(name, peer, domain, region));
    publishVmList();
    restart(name);
  }

  void publishVmList() {
    awaitListening("vm-list");
    String body = "{\"vms\":[" + String.join(",", machines.values()) + "]}";
    Http.send(
        Http.request(listPort, "/vms")
            .header("Content-Type", "application/json")
            .PUT(HttpRequest.BodyPublishers.ofString(body)));
  }

  /** Removes a VM from the platform's list. */
  void removeVm(String name) {
    machines.remove(name);
    publishVmList();
  }

  /** Starts an entry daemon, again after it was killed. */
  void restart(String name) {
    processes.put(
        name,
        ChildProcess.start(
            folder,
            name,
            options.getOrDefault(name, List.of()),
            MAIN,
            List.of("serve", "--settings", settings.get(name).toString())));
  }

  void awaitReady(String... names) {
    adminPorts.keySet().forEach(this::awaitListening);
    for (String name : names) {
      Eventually.await(
          name + " is ready",
          START,
          () -> Http.send(Http.request(ports.get(name), "/ready").GET()).statusCode() == 200);
    }
  }

  /**
   * Waits until a daemon is active in the view of another. A member that came back may expel others
   * only when it is active, which needs the acknowledgement of every active member of its region.
   * If the last active one is paused before that, the shards of the region wait for it, or for the
   * VM list to drop it.
   */
  void awaitActive(String member, String seenBy) {
    Eventually.await(
        member + " is active",
        ACTIVE_AGAIN,
        () ->
            command(seenBy, "show nodes")
                .lines()
                .anyMatch(line -> line.startsWith(member) && line.contains(" active")));
  }

  /** Runs an operator's command and returns code and message or table. */
  String command(String entry, String command) {
    return command(entry, command, java.util.UUID.randomUUID().toString());
  }

  String command(String entry, String command, String commandId) {
    String body = Json.object().put("command", command).put("command_id", commandId).toString();
    HttpResponse<String> response =
        Http.send(
            Http.request(operatorPorts.get(entry), "/operator/commands")
                .header("Authorization", "Bearer " + OPERATOR_KEY)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    var answer = Json.parseObject(response.body());
    return answer.path("name").asText()
        + " "
        + answer.path("message").asText()
        + "\n"
        + answer.path("output").asText("");
  }

  void accept(String entry, String command) {
    String result = command(entry, command);
    if (!result.startsWith("ACCEPTED")) {
      throw new AssertionError(command + ": " + result);
    }
  }

  /** Declares account, class, failure domains and routes. */
  void declareBasics(String entry) {
    accept(entry, "create class standard rank 1");
    accept(entry, "create account salon class standard share 10 key-hash " + sha256(KEY));
    accept(entry, "create domain ost-wien region ost");
    accept(entry, "create domain ost-graz region ost");
    accept(entry, "create domain west-ibk region west");
    accept(
        entry,
        "create route letters path \"/v1/completions\" model \"llm\" pool llm kind engine"
            + " repeatable yes deadline 30s");
    accept(
        entry,
        "create route confirmations path \"/confirmations\" pool app kind plain"
            + " repeatable no deadline 10s");
    accept(
        entry,
        "create route catalogue path \"/catalogue\" pool app kind plain"
            + " repeatable yes deadline 10s");
  }

  void declareEngine(String entry, String name, String domain, int coldLimit, int warmLimit) {
    declareEngine(entry, name, domain, "checked", coldLimit, warmLimit);
  }

  void declareEngine(
      String entry, String name, String domain, String fencing, int coldLimit, int warmLimit) {
    accept(
        entry,
        "create server %s pool llm domain %s kind engine address 127.0.0.1:%d fencing %s"
                .formatted(name, domain, ports.get(name), fencing)
            + " cold-limit %d warm-limit %d memory 100000".formatted(coldLimit, warmLimit));
  }

  void declarePlain(String entry, String name, String domain) {
    accept(
        entry,
        "create server %s pool app domain %s kind plain address 127.0.0.1:%d fencing ignored"
                .formatted(name, domain, ports.get(name))
            + " cold-limit 4 warm-limit 64");
  }

  void fault(String standIn, String json) {
    Http.post(adminPorts.get(standIn), "/faults", json);
  }

  long number(String standIn, String path, String field) {
    return Json.parseObject(Http.get(adminPorts.get(standIn), path)).path(field).asLong();
  }

  ChildProcess process(String name) {
    return processes.get(name);
  }

  int operatorPort(String name) {
    return operatorPorts.get(name);
  }

  int port(String name) {
    return ports.get(name);
  }

  @Override
  public void close() {
    processes.values().forEach(ChildProcess::close);
    relays.forEach(TcpProxy::close);
    try (var files = Files.list(folder)) {
      for (Path file : files.collect(Collectors.toList())) {
        Files.delete(file);
      }
      Files.delete(folder);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
