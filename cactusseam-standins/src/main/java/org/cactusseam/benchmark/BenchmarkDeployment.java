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

/** One entry daemon, its platform and several engines, each a process of its own. */
final class BenchmarkDeployment implements AutoCloseable {

  static final String KEY = "key-of-benchmark";
  private static final String OPERATOR_KEY = "key-of-operator";
  private static final Duration START = Duration.ofSeconds(40);
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
    int log = startStandIn("log", "log");
    int list = startStandIn("vm-list", "vm-list");
    for (int number = 0; number < engines; number++) {
      enginePorts.add(startEngine(number, streamsPerEngine, tokenIntervalMillis));
    }
    int peer = FreePorts.next();
    writeFiles(log, list, peer);
    List<String> arguments =
        List.of("serve", "--settings", folder.resolve("entry-1.yaml").toString());
    try {
      announce(list, peer);
      daemon = BenchmarkProcess.start(folder, "entry-1", daemonOptions, daemonJar, arguments);
      processes.addFirst(daemon);
      awaitStatus(callerPort, "/ready");
      declare(streamsPerEngine);
    } catch (RuntimeException e) {
      // Nobody can close an object whose constructor failed, and its processes would run on.
      processes.forEach(BenchmarkProcess::close);
      throw e;
    }
  }

  /** Tells the list of VMs that the daemon's VM is live. */
  private void announce(int list, int peer) {
    awaitStatus(list, "/vms");
    exchange(
        request(list, "/vms")
            .header("Content-Type", "application/json")
            .PUT(
                HttpRequest.BodyPublishers.ofString(
                    ("{\"vms\":[{\"name\":\"entry-1\",\"host\":\"127.0.0.1\",\"peer_port\":%d,"
                            + "\"failure_domain\":\"ost-wien\",\"region\":\"ost\","
                            + "\"state\":\"live\"}]}")
                        .formatted(peer))));
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private int startStandIn(String name, String... arguments) {
    int port = FreePorts.next();
    List<String> all = new ArrayList<>(List.of(arguments));
    all.addAll(List.of("--port", Integer.toString(port)));
    List<String> options = List.of("-Xmx192m", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=1");
    processes.add(BenchmarkProcess.start(folder, name, options, standInJar, all));
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

  private void writeFiles(int log, int list, int peer) {
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
            .formatted(callerPort, operatorPort, peer, log, list);
    try {
      Files.writeString(folder.resolve("entry-1.yaml"), yaml);
      Files.writeString(folder.resolve("cluster.key"), "cluster-key-of-at-least-32-characters");
      Files.writeString(folder.resolve("operators"), "tester " + sha256(OPERATOR_KEY) + "\n");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void declare(int streamsPerEngine) {
    command("create class standard rank 1");
    command("create account benchmark class standard share 10 key-hash " + sha256(KEY));
    command("create domain ost-wien region ost");
    command(
        "create route letters path \"/v1/completions\" model \"llm\" pool llm kind engine"
            + " repeatable yes deadline 30min");
    for (int number = 0; number < enginePorts.size(); number++) {
      command(
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

  private void command(String command) {
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

  private void awaitStatus(int port, String path) {
    long end = System.nanoTime() + START.toNanos();
    while (System.nanoTime() < end) {
      try {
        if (exchange(request(port, path).GET()).statusCode() == 200) {
          return;
        }
      } catch (UncheckedIOException e) {
        // The process does not listen yet.
      }
      StreamLoadGenerator.pause(Duration.ofMillis(100));
    }
    throw new IllegalStateException("no answer at " + path + "; see " + folder);
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
