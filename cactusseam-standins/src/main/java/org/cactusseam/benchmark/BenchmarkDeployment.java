package org.cactusseam.benchmark;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.cactusseam.standin.FreePorts;
import org.cactusseam.standin.Json;

/**
 * Starts one entry daemon, the simulated platform and several simulated engines, each in its own
 * process, and configures the daemon for the benchmark.
 */
final class BenchmarkDeployment implements AutoCloseable {

  static final String CALLER_KEY = "key-of-benchmark";
  private static final String OPERATOR_KEY = "key-of-operator";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
  private static final int MEMORY_TOKENS = 1_000_000_000;

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<BenchmarkProcess> processes = new ArrayList<>();
  private final List<Integer> enginePorts = new ArrayList<>();
  private final Path folder;
  private final Path standInJar;
  private final int callerPort = FreePorts.next();
  private final int operatorPort = FreePorts.next();
  private final BenchmarkProcess daemon;

  BenchmarkDeployment(
      Path folder,
      Path daemonJar,
      Path standInJar,
      int engines,
      int streamsPerEngine,
      int tokenIntervalMillis,
      List<String> daemonOptions) {
    this.folder = folder;
    this.standInJar = standInJar;
    int logPort = startStandIn("log", "log");
    int listPort = startStandIn("vm-list", "vm-list");
    for (int number = 0; number < engines; number++) {
      enginePorts.add(startEngine(number, streamsPerEngine, tokenIntervalMillis));
    }
    int peerPort = FreePorts.next();
    writeFiles(logPort, listPort, peerPort);
    List<String> arguments =
        List.of("serve", "--settings", folder.resolve("entry-1.yaml").toString());
    try {
      publishVmList(listPort, peerPort);
      daemon = BenchmarkProcess.start(folder, "entry-1", daemonOptions, daemonJar, arguments);
      processes.addFirst(daemon);
      awaitOkStatus(callerPort, "/ready");
      configureDaemon(streamsPerEngine);
    } catch (RuntimeException e) {
      // The caller cannot close an object whose constructor failed, so the processes are ended
      // here.
      processes.forEach(BenchmarkProcess::close);
      throw e;
    }
  }

  /** Publishes the VM of the daemon as live in the list of VMs. */
  private void publishVmList(int listPort, int peerPort) {
    awaitOkStatus(listPort, "/vms");
    exchange(
        request(listPort, "/vms")
            .header("Content-Type", "application/json")
            .PUT(
                HttpRequest.BodyPublishers.ofString(
                    ("{\"vms\":[{\"name\":\"entry-1\",\"host\":\"127.0.0.1\",\"peer_port\":%d,"
                            + "\"failure_domain\":\"ost-wien\",\"region\":\"ost\","
                            + "\"state\":\"live\"}]}")
                        .formatted(peerPort))));
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private int startStandIn(String name, String... arguments) {
    int port = FreePorts.next();
    List<String> allArguments = new ArrayList<>(List.of(arguments));
    allArguments.addAll(List.of("--port", Integer.toString(port)));
    List<String> options = List.of("-Xmx192m", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=1");
    processes.add(BenchmarkProcess.start(folder, name, options, standInJar, allArguments));
    return port;
  }

  private int startEngine(int number, int streams, int tokenIntervalMillis) {
    return startStandIn(
        "engine-" + number,
        "engine",
        "--output-median=1000000",
        "--output-spread=0",
        "--batch-limit=" + streams,
        "--memory-tokens=" + MEMORY_TOKENS,
        "--step-us=" + tokenIntervalMillis * 1_000,
        "--step-per-sequence-us=0",
        "--step-per-prefill-token-us=0",
        "--step-jitter=0",
        "--resume-window-ms=1000",
        "--cold-limit=" + streams);
  }

  private void writeFiles(int logPort, int listPort, int peerPort) {
    String yaml =
        """
        deployment: zopfwerk
        node: entry-1
        failure-domain: ost-wien
        region: ost
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
        shutdown:
          grace: 0ms
        """
            .formatted(callerPort, operatorPort, peerPort, logPort, listPort);
    try {
      Files.writeString(folder.resolve("entry-1.yaml"), yaml);
      Files.writeString(folder.resolve("cluster.key"), "cluster-key-of-at-least-32-characters");
      Files.writeString(folder.resolve("operators"), "tester " + sha256(OPERATOR_KEY) + "\n");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void configureDaemon(int streamsPerEngine) {
    runCommand("create class standard rank 1");
    runCommand("create account benchmark class standard share 10 key-hash " + sha256(CALLER_KEY));
    runCommand("create domain ost-wien region ost");
    runCommand(
        "create route letters path \"/v1/completions\" model \"llm\" pool llm kind engine"
            + " repeatable yes deadline 30min");
    for (int number = 0; number < enginePorts.size(); number++) {
      runCommand(
          ("create server engine-%d pool llm domain ost-wien kind engine address 127.0.0.1:%d"
                  + " fencing checked cold-limit %d warm-limit %d memory %d")
              .formatted(
                  number,
                  enginePorts.get(number),
                  streamsPerEngine,
                  streamsPerEngine,
                  MEMORY_TOKENS));
    }
  }

  private void runCommand(String command) {
    String body =
        Json.object()
            .put("command", command)
            .put("command_id", UUID.randomUUID().toString())
            .toString();
    HttpResponse<String> response =
        exchange(
            request(operatorPort, "/operator/commands")
                .header("Authorization", "Bearer " + OPERATOR_KEY)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    if (!Json.parseObject(response.body()).path("name").asText().equals("ACCEPTED")) {
      throw new IllegalStateException(command + ": " + response.body());
    }
  }

  private void awaitOkStatus(int port, String path) {
    long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() < deadline) {
      try {
        if (exchange(request(port, path).GET()).statusCode() == 200) {
          return;
        }
      } catch (UncheckedIOException e) {
        // The process is not listening yet.
      }
      StreamLoadGenerator.pause(Duration.ofMillis(100));
    }
    throw new IllegalStateException(
        "no response with status 200 within 40 s from " + path + "; see the logs in " + folder);
  }

  private static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
  }

  private HttpResponse<String> exchange(HttpRequest.Builder request) {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  List<Integer> enginePorts() {
    return enginePorts;
  }

  int callerPort() {
    return callerPort;
  }

  BenchmarkProcess daemon() {
    return daemon;
  }

  @Override
  public void close() {
    processes.forEach(BenchmarkProcess::close);
  }
}
