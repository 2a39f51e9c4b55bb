import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker that registers itself in the store. One request per connection. */
final class Worker implements AutoCloseable {

  /** What the worker does with a request. */
  interface Behaviour {
    void answer(Worker worker, Message request, Socket socket, OutputStream output)
        throws Exception;
  }

  final String id;
  final String version;
  final AtomicInteger running = new AtomicInteger();
  private final String service;
  private final int slots;
  private final long born = System.currentTimeMillis();
  private final Store store;
  private final RunRecord record;
  private final Behaviour behaviour;
  private final ServerSocket server;
  private int sequence;
  private volatile boolean closed;

  Worker(
      Store store,
      RunRecord record,
      String id,
      String service,
      String version,
      int slots,
      Behaviour behaviour)
      throws IOException {
    this.store = store;
    this.record = record;
    this.id = id;
    this.service = service;
    this.version = version;
    this.slots = slots;
    this.behaviour = behaviour;
    this.server = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    Thread.startVirtualThread(this::accept);
    Thread.startVirtualThread(this::report);
  }

  private void report() {
    while (!closed) {
      store.put(
          "keyed.servers",
          id,
          "{\"service\":\""
              + service
              + "\",\"address\":\"127.0.0.1:"
              + server.getLocalPort()
              + "\",\"zone\":\"ost-wien\",\"version\":\""
              + version
              + "\",\"slots\":"
              + slots
              + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"phase\":\"mixed\","
              + "\"model_list\":[{\"name\":\"m\",\"version\":1,\"adapter_list\":[]}],\"born\":"
              + born
              + ",\"sequence\":"
              + sequence++
              + "}");
      Run.sleep(1_200);
    }
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = server.accept();
        Thread.startVirtualThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      Message request = Message.read(input);
      if (request == null) {
        return;
      }
      input.readNBytes(request.length());
      OutputStream output = socket.getOutputStream();
      if (request.target().equals("/cactusseam/report")) {
        write(output, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", "{\"phase\":\"mixed\"}");
        return;
      }
      if (!id.equals(request.header("Expected-Instance"))) {
        write(output, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\n", "");
        return;
      }
      running.incrementAndGet();
      try {
        behaviour.answer(this, request, socket, output);
      } finally {
        running.decrementAndGet();
      }
    } catch (Exception e) {
      record.add("worker " + id + ": connection ended: " + e.getMessage());
    }
  }

  /** Returns the start of a response to a request, with a receipt. */
  String head(Message request, int status) {
    return "HTTP/1.1 "
        + status
        + (status == 200 ? " OK" : " Error")
        + "\r\nAttempt-Id: "
        + request.header("Attempt-Id")
        + "\r\nResponse-Signature: "
        + id
        + "."
        + request.header("Attempt-Id")
        + "\r\n";
  }

  static void write(OutputStream output, String head, String body) throws IOException {
    write(output, head + "Content-Length: " + body.length() + "\r\n\r\n" + body);
  }

  static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }

  static void chunk(OutputStream output, String text) throws IOException {
    write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
  }
}
