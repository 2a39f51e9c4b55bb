import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway as a separate process, started with the command of the deploy file. */
final class GatewayProgram implements AutoCloseable {

  private static final int MAX_STARTS = 4;

  private final Path repository;
  private final Path folder;
  private final String node;
  private final int[] ports = new int[4];
  private final int storePort;
  private Process process;

  GatewayProgram(Path repository, Path folder, String node, Store store) throws IOException {
    this.repository = repository;
    this.folder = folder;
    this.node = node;
    this.storePort = store.port();
    choosePorts();
  }

  /** Chooses free ports; the port for metrics follows that for the other gateways. */
  private void choosePorts() throws IOException {
    InetAddress local = InetAddress.getByName("127.0.0.1");
    for (int attempt = 0; attempt < 50; attempt++) {
      try (ServerSocket front = new ServerSocket(0, 1, local);
          ServerSocket ready = new ServerSocket(0, 1, local);
          ServerSocket control = new ServerSocket(0, 1, local);
          ServerSocket internal = new ServerSocket(0, 1, local);
          ServerSocket next = new ServerSocket(internal.getLocalPort() + 1, 1, local)) {
        ports[0] = front.getLocalPort();
        ports[1] = ready.getLocalPort();
        ports[2] = control.getLocalPort();
        ports[3] = next.getLocalPort() - 1;
        return;
      } catch (IOException e) {
        // The port after the first internal one is in use.
      }
    }
    throw new IOException("no free ports");
  }

  int port() {
    return ports[0];
  }

  private String settings() {
    String local = "127.0.0.1:";
    return """
        {"node_name":"%s","role":"entry","machine_class":"edge","serves":["edge"],"ip":"127.0.0.1",
        "zone":"ost-wien","region":"ost",
        "zones":{"ost-wien":"ost","west-ibk":"west","ost-graz":"ost"},
        "listen":{"front":"%s","ready_address":"%s","control":"%s"},
        "internal_ports":[%d,%d],"seeds":[],"bootstrap":true,"loss_counts":false,
        "limits":{"cpu_share":0.75,"cores":1,"memory_mb":280,"max_fds":4100,"link_mbps":1000.0,
        "disk_mb":0},"data_dir":null,"discovery":"platform","entry":"virtual_ip",
        "heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine",
        "stream","tenants","places","platform"],
        "fault_tolerance":{"machines":2,"zones":1,"regions":0},
        "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":4000,"ack_ms":5000,
        "catch_up_s":4,"drain_ms":2500,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2500,
        "rollback_slack_ms":250,"max_skew_ms":6000,"revoke_strict":false,"revoke_ms":5000,
        "retry_budget_ratio":0.2,"budget_window_s":10,"retry_allowance":52,"cold_overrun":1.5,
        "cold_allowance":5,"evacuation_ms":5000,"recovery_s":12,"event_delay_ms":300,
        "retry_after_s":4.7},
        "platform":{"address":"%s","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,
        "append_ms":2.0,"partition_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,
        "request_bytes":2097152,"keep_s":300,"partition_mb":200,"min_ttl_ms":1000}}
        """
        .formatted(
            node,
            local + ports[0],
            local + ports[1],
            local + ports[2],
            ports[3],
            ports[3] + 15,
            local + storePort);
  }

  /**
   * Starts the process and waits until it is ready. Starts it again with other ports if another
   * process has taken one of them meanwhile.
   */
  void start() throws IOException, InterruptedException {
    for (int attempt = 1; !startOnce(); attempt++) {
      if (attempt == MAX_STARTS) {
        throw new IOException("the gateway did not become ready");
      }
      close();
      choosePorts();
    }
  }

  private boolean startOnce() throws IOException, InterruptedException {
    Path file = folder.resolve(node + ".json");
    Files.writeString(file, settings());
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(repository.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
      }
    }
    command.set(0, repository.resolve(command.get(0)).toString());
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(repository.toFile())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(node + ".log").toFile());
    builder.environment().put("CACTUSSEAM_SETTINGS", file.toString());
    process = builder.start();
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!isReady()) {
      if (System.nanoTime() > limit || !process.isAlive()) {
        return false;
      }
      Thread.sleep(50);
    }
    return true;
  }

  boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", ports[1]), 500);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(Wire.ascii("GET /cactusseam/readyz HTTP/1.1\r\nHost: gateway\r\n\r\n"));
      return Wire.readHead(socket.getInputStream()).second().equals("200");
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  Process process() {
    return process;
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  boolean awaitExit(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
