import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a worker: takes connections, reads one request at a time and lets a script answer
 * it. Reports and health checks are answered like a sound worker does.
 */
final class Worker implements AutoCloseable {

  private static final long HEARTBEAT_MILLIS = 1_200;

  /** Answers a request. */
  interface Script {
    void answer(Request request) throws IOException, InterruptedException;
  }

  /** A request that has arrived, with its connection. */
  record Request(Wire.Head head, byte[] body, Socket socket, InputStream input, OutputStream output) {

    String attempt() {
      return head.header("Attempt-Id");
    }

    String signedHead(int status, String headers) {
      return "HTTP/1.1 "
          + status
          + " OK\r\nAttempt-Id: "
          + attempt()
          + "\r\nResponse-Signature: signed."
          + attempt()
          + "\r\n"
          + headers
          + "\r\n";
    }

    void write(String text) throws IOException {
      output.write(Wire.ascii(text));
      output.flush();
    }

    /** Writes a chunk of a chunked answer. */
    void writeChunk(String text) throws IOException {
      write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    void answerWhole(int status, String body) throws IOException {
      write(signedHead(status, "Content-Length: " + body.length() + "\r\n") + body);
    }
  }

  private final String id;
  private final Store store;
  private final String service;
  private final int slots;
  private final ServerSocket listener;
  private final Script script;
  private final long born = System.currentTimeMillis();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean listed = true;
  private volatile boolean draining;
  private int sequence;

  Worker(Store store, String id, String service, int slots, Script script) throws IOException {
    this.id = id;
    this.store = store;
    this.service = service;
    this.slots = slots;
    this.script = script;
    this.listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
    Thread.ofVirtual().start(this::beat);
  }

  private void beat() {
    while (listed && !listener.isClosed()) {
      publish(draining ? "draining" : "ready");
      try {
        Thread.sleep(HEARTBEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Reports that the worker leaves. It goes on serving. */
  void drain() {
    draining = true;
    publish("draining");
  }

  private synchronized void publish(String state) {
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\""
            + service
            + "\",\"address\":\""
            + address()
            + "\",\"zone\":\"ost-wien\",\"version\":\"v1\",\"slots\":"
            + slots
            + ",\"state\":\""
            + state
            + "\",\"cold_remaining_ms\":0,\"born\":"
            + born
            + ",\"sequence\":"
            + ++sequence
            + "}");
  }

  String id() {
    return id;
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        connections.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream input = socket.getInputStream();
      OutputStream output = socket.getOutputStream();
      while (true) {
        Wire.Head head = Wire.readHead(input);
        byte[] body = Wire.readBody(input, head);
        Request request = new Request(head, body, socket, input, output);
        if (head.second().equals("/cactusseam/report")) {
          String report =
              "{\"phase\":\"mixed\",\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":0,"
                  + "\"kv_in_use\":0,\"kv_capacity_total\":34192,\"kv_handles\":0,\"born\":"
                  + born
                  + "}";
          request.write(
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                  + report.length()
                  + "\r\n\r\n"
                  + report);
        } else if (!head.header("Expected-Instance").isEmpty()
            && !head.header("Expected-Instance").equals(id)) {
          request.write(
              "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                  + id
                  + "\r\nContent-Length: 0\r\n\r\n");
        } else {
          script.answer(request);
        }
        if (head.header("Connection").equalsIgnoreCase("close")) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has closed the connection.
    } finally {
      connections.remove(socket);
    }
  }

  /**
   * Ends like a process that crashes: its port and its connections close. Its entry is removed after
   * three intervals of silence.
   */
  void crash() throws IOException {
    close();
    for (Socket socket : connections) {
      socket.close();
    }
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(3 * HEARTBEAT_MILLIS);
                store.put("keyed.servers", id, null);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  @Override
  public void close() throws IOException {
    listed = false;
    listener.close();
  }
}
