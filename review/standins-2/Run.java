import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** One run of a case: its gateways, its record and its result. */
final class Run implements AutoCloseable {

  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;

  final RunRecord record;
  final Store store = new Store();
  final boolean isDisturbed = !"0".equals(System.getenv("TROUBLE"));
  private final Path folder;
  private final List<Gateway> gateways = new ArrayList<>();

  Run(Path caseFolder) throws IOException {
    record = new RunRecord(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("cactusseam-review");
    record.add("disruption: " + (isDisturbed ? "yes" : "no"));
  }

  /** A gateway process. */
  static final class Gateway {
    final String name;
    final int port;
    final int readyPort;
    final int storePort;
    final Path log;
    Process process;

    Gateway(String name, int port, int readyPort, int storePort, Path log) {
      this.name = name;
      this.port = port;
      this.readyPort = readyPort;
      this.storePort = storePort;
      this.log = log;
    }
  }

  /** Writes a manifest with one route of each kind, as the operator does. */
  void configure(String services, String routes) {
    store.put(
        "keyed.op",
        "config",
        "{\"version\":7,\"routes\":["
            + routes
            + "],\"services\":["
            + services
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":"
            + "\"huka270\",\"api_keys\":[\"key-1\"],\"priority\":1,\"allowed_regions\":[]}]}");
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Starts a gateway with the command of the deploy file. */
  Gateway startGateway(String name) throws IOException {
    int front = freePort();
    int ready = freePort();
    int control = freePort();
    // The second of the internal ports serves metrics.
    int internal = freePort();
    while (!isFree(internal + 1)) {
      internal = freePort();
    }
    int storePort = store.open();
    String settings =
        """
        {"node_name":"%s","role":"entry","machine_class":"edge","serves":["edge"],
        "ip":"127.0.0.1","zone":"ost-wien","region":"ost",
        "zones":{"ost-wien":"ost","ost-graz":"ost","west-ibk":"west"},
        "listen":{"front":"127.0.0.1:%d","ready_address":"127.0.0.1:%d","control":"127.0.0.1:%d"},
        "internal_ports":[%d,%d],"seeds":[],"bootstrap":true,"loss_counts":false,
        "limits":{"cpu_share":0.75,"cores":1,"memory_mb":280,"max_fds":4100,"link_mbps":1000.0,
        "disk_mb":0},"data_dir":null,"discovery":"platform","entry":"virtual_ip",
        "heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover",
        "engine","stream","tenants","places","platform"],
        "fault_tolerance":{"machines":2,"zones":1,"regions":0},
        "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":4000,"ack_ms":5000,
        "catch_up_s":4,"drain_ms":2500,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2500,
        "rollback_slack_ms":250,"max_skew_ms":6000,"revoke_strict":false,"revoke_ms":5000,
        "retry_budget_ratio":0.2,"budget_window_s":10,"retry_allowance":52,"cold_overrun":1.5,
        "cold_allowance":5,"evacuation_ms":5000,"recovery_s":12,"event_delay_ms":300,
        "retry_after_s":4.7},
        "platform":{"address":"127.0.0.1:%d","form":"log","writes_per_s":400,"reads_per_s":2000,
        "parts":12,"append_ms":2.0,"partition_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,
        "request_bytes":2097152,"keep_s":300,"partition_mb":200,"min_ttl_ms":1000}}
        """
            .formatted(name, front, ready, control, internal, internal + 1, storePort);
    Path file = Files.writeString(folder.resolve(name + ".json"), settings);
    Gateway gateway =
        new Gateway(name, front, ready, storePort, folder.resolve(name + ".log"));
    ProcessBuilder builder =
        new ProcessBuilder(deployCommand())
            .redirectErrorStream(true)
            .redirectOutput(gateway.log.toFile());
    builder.environment().put("CACTUSSEAM_SETTINGS", file.toString());
    gateway.process = builder.start();
    gateways.add(gateway);
    record.add("started gateway " + name);
    return gateway;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the command of the only role in the deploy file. */
  private static List<String> deployCommand() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    return List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
  }

  /** Waits until all gateways say that they are ready. */
  void awaitReady() throws IOException {
    long until = System.currentTimeMillis() + 20_000;
    for (Gateway gateway : gateways) {
      while (!isReady(gateway)) {
        if (System.currentTimeMillis() > until) {
          throw new IOException("gateway " + gateway.name + " is not ready");
        }
        sleep(100);
      }
    }
    record.add("all gateways are ready");
  }

  /** Asks a gateway as the platform does whether it is ready. */
  static boolean isReady(Gateway gateway) {
    try (Socket socket = connect(gateway.readyPort)) {
      socket.setSoTimeout(1_000);
      send(socket, "GET /cactusseam/readyz HTTP/1.1\r\nHost: platform\r\n\r\n");
      Message answer = Message.read(socket.getInputStream());
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Returns the head of a caller's request. */
  static String request(String method, String path, String attempt, String more, int length) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: salon.example\r\nAttempt-Id: "
        + attempt
        + "\r\nAuthorization: Bearer key-1\r\n"
        + more
        + (method.equals("GET") ? "" : "Content-Length: " + length + "\r\n")
        + "\r\n";
  }

  /** What a caller got: the status (0 without an answer, -1 if none came in time) and the body. */
  record Reply(int status, Message head, String body, boolean isWhole) {}

  /** Reads an answer of known length, in chunks, or up to the end of the connection. */
  static Reply readReply(Socket socket) {
    Message head = null;
    StringBuilder body = new StringBuilder();
    try {
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      head = Message.read(input);
      if (head == null) {
        return new Reply(0, null, "", false);
      }
      if ("chunked".equals(head.header("Transfer-Encoding"))) {
        while (true) {
          String size = Message.line(input);
          if (size == null) {
            return new Reply(head.status(), head, body.toString(), false);
          }
          byte[] part = input.readNBytes(Integer.parseInt(size.strip(), 16));
          body.append(new String(part, StandardCharsets.ISO_8859_1));
          Message.line(input);
          if (part.length == 0) {
            return new Reply(head.status(), head, body.toString(), true);
          }
        }
      }
      byte[] content = input.readNBytes(head.length());
      return new Reply(
          head.status(),
          head,
          new String(content, StandardCharsets.ISO_8859_1),
          content.length == head.length());
    } catch (java.net.SocketTimeoutException e) {
      return new Reply(head == null ? -1 : head.status(), head, body.toString(), false);
    } catch (IOException e) {
      return new Reply(head == null ? 0 : head.status(), head, body.toString(), false);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  void kill(Gateway gateway) {
    record.add("SIGKILL to gateway " + gateway.name);
    gateway.process.destroyForcibly();
  }

  @Override
  public void close() throws Exception {
    for (Gateway gateway : gateways) {
      gateway.process.destroyForcibly().waitFor();
    }
    store.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      }
    } else {
      System.out.println("logs in " + folder);
    }
    record.close();
  }
}
