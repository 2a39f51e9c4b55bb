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
 * A deployment of separate processes on the loopback interface: simulated platform, simulated
 * backend servers and entry daemons. It has two regions: {@code ost} with the failure domains
 * {@code ost-wien} and {@code ost-graz}, and {@code west} with {@code west-ibk}.
 */
final class SystemUnderTest implements AutoCloseable {

  static final String ACCOUNT = "salon";
  static final String KEY = "key-of-salon";
  static final String OPERATOR_KEY = "key-of-operator";
  private static final String STAND_IN_MAIN_CLASS = "org.cactusseam.standin.StandInMain";
  private static final String DAEMON_MAIN_CLASS = "org.cactusseam.cli.Main";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(40);

  /** Timeout for an expelled daemon to rejoin and become active. */
  private static final Duration REJOIN_TIMEOUT = Duration.ofSeconds(15);

  final Path folder;
  final int logPort = FreePorts.next();
  final int listPort = FreePorts.next();
  final Map<String, ChildProcess> processes = new LinkedHashMap<>();
  final Map<String, Integer> ports = new LinkedHashMap<>();
  final Map<String, Integer> adminPorts = new LinkedHashMap<>();
  private final List<TcpProxy> proxies = new ArrayList<>();
  private final Map<String, String> vmEntries = new LinkedHashMap<>();
  private final Map<String, Path> settingsFiles = new LinkedHashMap<>();
  private final Map<String, String> extraSettings = new LinkedHashMap<>();
  private final Map<String, List<String>> jvmOptions = new LinkedHashMap<>();
  private final Map<String, List<String>> launchers = new LinkedHashMap<>();
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
    int adminPort = FreePorts.next();
    List<String> allArguments = new ArrayList<>(arguments);
    allArguments.addAll(List.of("--port", Integer.toString(port)));
    allArguments.addAll(List.of("--admin-port", Integer.toString(adminPort)));
    ports.put(name, port);
    adminPorts.put(name, adminPort);
    processes.put(name, ChildProcess.start(folder, name, STAND_IN_MAIN_CLASS, allArguments));
  }

  private void awaitListening(String name) {
    Eventually.await(
        name + " listens", START_TIMEOUT, () -> processes.get(name).output().contains("listening"));
  }

  /** Starts an engine whose outputs always reach {@code max_tokens}. */
  void startEngine(String name, String... options) {
    List<String> arguments =
        new ArrayList<>(List.of("engine", "--output-median", "1000000", "--output-spread", "0"));
    arguments.addAll(List.of(options));
    startStandIn(name, FreePorts.next(), arguments);
  }

  void startPlainService(String name, String... options) {
    List<String> arguments = new ArrayList<>(List.of("plain-service"));
    arguments.addAll(List.of(options));
    startStandIn(name, FreePorts.next(), arguments);
  }

  /** Starts an entry daemon that reaches the log only through a proxy, which the test can cut. */
  TcpProxy startEntryDaemonBehindProxy(String name, String domain, String region) {
    TcpProxy proxy = new TcpProxy(logPort);
    proxies.add(proxy);
    startEntryDaemon(name, domain, region, proxy.port(), FreePorts.next());
    return proxy;
  }

  /**
   * Starts an entry daemon that reaches the log and its peers only through proxies. Returns the
   * proxy of the log.
   */
  TcpProxy startEntryDaemonBehindProxies(
      String name, String domain, String region, PeerProxies peers) {
    TcpProxy proxy = new TcpProxy(logPort);
    proxies.add(proxy);
    jvmOptions.put(name, List.of(peers.jvmOption(name)));
    startEntryDaemon(name, domain, region, proxy.port(), peers.peerPort(name));
    return proxy;
  }

  /** Starts an entry daemon that serves callers and operators over TLS. */
  void startEntryDaemonWithTls(
      String name, String domain, String region, TestCertificate certificate) {
    String files =
        "{certificate-file: %s, private-key-file: %s}"
            .formatted(certificate.chainFile(), certificate.keyFile());
    extraSettings.put(name, "tls: {caller: %s, operator: %s}".formatted(files, files));
    startEntryDaemon(name, domain, region);
  }

  /** Starts an entry daemon with a smaller heap, fewer descriptors and other settings. */
  void startEntryDaemonWithLimits(
      String name, String domain, int heapMegabytes, int descriptors, String settings) {
    jvmOptions.put(name, List.of("-Xmx" + heapMegabytes + "m"));
    launchers.put(
        name, List.of("sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "daemon"));
    extraSettings.put(name, settings);
    startEntryDaemon(name, domain, "ost");
  }

  void startEntryDaemon(String name, String domain, String region) {
    startEntryDaemon(name, domain, region, logPort, FreePorts.next());
  }

  private void startEntryDaemon(
      String name, String domain, String region, int reachableLogPort, int peerPort) {
    int callerPort = FreePorts.next();
    int operatorPort = FreePorts.next();
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
                callerPort,
                operatorPort,
                peerPort,
                reachableLogPort,
                listPort,
                extraSettings.getOrDefault(name, ""));
    Path file = folder.resolve(name + ".yaml");
    try {
      Files.writeString(file, yaml);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    settingsFiles.put(name, file);
    ports.put(name, callerPort);
    operatorPorts.put(name, operatorPort);
    vmEntries.put(
        name,
        """
        {"name":"%s","host":"127.0.0.1","peer_port":%d,"failure_domain":"%s","region":"%s",\
        "state":"live"}"""
            .formatted(name, peerPort, domain, region));
    publishVmList();
    restart(name);
  }

  void publishVmList() {
    awaitListening("vm-list");
    String body = "{\"vms\":[" + String.join(",", vmEntries.values()) + "]}";
    Http.send(
        Http.request(listPort, "/vms")
            .header("Content-Type", "application/json")
            .PUT(HttpRequest.BodyPublishers.ofString(body)));
  }

  /** Removes a VM from the platform's list. */
  void removeVm(String name) {
    vmEntries.remove(name);
    publishVmList();
  }

  /** Starts the process of an entry daemon, also again after it has ended. */
  void restart(String name) {
    processes.put(
        name,
        ChildProcess.start(
            folder,
            name,
            launchers.getOrDefault(name, List.of()),
            jvmOptions.getOrDefault(name, List.of()),
            DAEMON_MAIN_CLASS,
            List.of("serve", "--settings", settingsFiles.get(name).toString())));
  }

  void awaitReady(String... names) {
    adminPorts.keySet().forEach(this::awaitListening);
    for (String name : names) {
      Eventually.await(
          name + " is ready",
          START_TIMEOUT,
          () -> Http.send(Http.request(ports.get(name), "/ready").GET()).statusCode() == 200);
    }
  }

  /**
   * Waits until another daemon shows a daemon as active. A member that has rejoined may expel
   * others only when it is active, which requires the acknowledgement of every active member of its
   * region. If the last active member is paused before that, the shards of the region have no owner
   * until it continues or is removed from the VM list.
   */
  void awaitActive(String member, String seenBy) {
    Eventually.await(
        member + " is active",
        REJOIN_TIMEOUT,
        () ->
            runCommand(seenBy, "show nodes")
                .lines()
                .anyMatch(line -> line.startsWith(member) && line.contains(" active")));
  }

  /**
   * Executes an operator command. Returns the name of the result and its message, followed by a
   * line break and the output, if any.
   */
  String runCommand(String entry, String command) {
    return runCommand(entry, command, java.util.UUID.randomUUID().toString());
  }

  String runCommand(String entry, String command, String commandId) {
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

  void runAcceptedCommand(String entry, String command) {
    String result = runCommand(entry, command);
    if (!result.startsWith("ACCEPTED")) {
      throw new AssertionError(command + ": " + result);
    }
  }

  /** Creates the priority class, the client account, the failure domains and the routes. */
  void declareBasics(String entry) {
    runAcceptedCommand(entry, "create class standard rank 1");
    runAcceptedCommand(
        entry, "create account salon class standard share 10 key-hash " + sha256(KEY));
    runAcceptedCommand(entry, "create domain ost-wien region ost");
    runAcceptedCommand(entry, "create domain ost-graz region ost");
    runAcceptedCommand(entry, "create domain west-ibk region west");
    runAcceptedCommand(
        entry,
        "create route letters path \"/v1/completions\" model \"llm\" pool llm kind engine"
            + " repeatable yes deadline 30s");
    runAcceptedCommand(
        entry,
        "create route confirmations path \"/confirmations\" pool app kind plain"
            + " repeatable no deadline 10s");
    runAcceptedCommand(
        entry,
        "create route catalogue path \"/catalogue\" pool app kind plain"
            + " repeatable yes deadline 10s");
  }

  void declareEngine(String entry, String name, String domain, int coldLimit, int warmLimit) {
    declareEngine(entry, name, domain, "checked", coldLimit, warmLimit);
  }

  void declareEngine(
      String entry, String name, String domain, String fencing, int coldLimit, int warmLimit) {
    runAcceptedCommand(
        entry,
        "create server %s pool llm domain %s kind engine address 127.0.0.1:%d fencing %s"
                .formatted(name, domain, ports.get(name), fencing)
            + " cold-limit %d warm-limit %d memory 100000".formatted(coldLimit, warmLimit));
  }

  void declarePlain(String entry, String name, String domain) {
    runAcceptedCommand(
        entry,
        "create server %s pool app domain %s kind plain address 127.0.0.1:%d fencing ignored"
                .formatted(name, domain, ports.get(name))
            + " cold-limit 4 warm-limit 64");
  }

  void setFaults(String standIn, String json) {
    Http.post(adminPorts.get(standIn), "/faults", json);
  }

  long readNumber(String standIn, String path, String field) {
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
    proxies.forEach(TcpProxy::close);
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
