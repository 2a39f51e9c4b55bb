import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * Clients send requests ahead and do not read the answers; the last request of each has a body, of
 * which only the first piece is sent. Then other clients send many large bodies, and the first ones
 * read their answers and send the rest of the body.
 */
public final class BodySentAheadCase {

  private static final int CLIENTS = 12;
  private static final int BODY_BYTES = 1_000_000;
  private static final int FIRST_PIECE_BYTES = 1_200;

  /** Time after which the rest of the body is sent, counted from the first answer that is read. */
  private static final int SECOND_PIECE_MILLIS = 100;

  private static final int ANSWER_BYTES = 2_000_000;
  private static final int WORK_MILLIS = 86;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int MAX_READS = 3_000;
  private static final long STALLED_MILLIS = 400;

  private static final int LARGE_BODY_CLIENTS = 100;
  private static final int LARGE_BODY_BYTES = 1 << 20;
  private static final int LARGE_BODY_MILLIS = 8_000;

  private static final String SERVICE =
      """
      {"name":"app","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,
      "cold_s":0.0,"cold_per_s":0.0}""";

  private static final String ROUTES =
      """
      {"name":"confirm","host":"salon.example","path_prefix":"/confirm/",
      "route_kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,
      "service":"app","max_attempts":1,"public":false,"sticky":false,"resumable":false,
      "target_gap_ms":0,"allowed_regions":[]},
      {"name":"read","host":"salon.example","path_prefix":"/read/","route_kind":"idempotent",
      "timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"app","max_attempts":2,
      "public":false,"sticky":false,"resumable":false,"target_gap_ms":0,"allowed_regions":[]}""";

  private final Run run;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();

  /** Length of the body with which each request with a body ran, in bytes. */
  private final Map<String, Integer> bodies = new ConcurrentHashMap<>();

  private final CountDownLatch isPressed = new CountDownLatch(1);

  private BodySentAheadCase(Run run) {
    this.run = run;
  }

  public static void main(String[] arguments) throws Exception {
    int result = Run.NOT_RUN;
    try (Run run = new Run(Path.of(arguments[0]))) {
      result = new BodySentAheadCase(run).play();
      run.record.add("exit " + result);
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(result);
  }

  private int play() throws Exception {
    run.configure(SERVICE, ROUTES);
    List<Worker> workers = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      workers.add(new Worker(run.store, run.record, "app-" + i, "app", "v1", 6, this::answer));
    }
    Run.Gateway gateway = run.startGateway("edge-1");
    run.awaitReady();
    Run.sleep(2_000);

    int unread = countAnswersUntilStall(gateway);
    run.record.add("the gateway starts " + unread + " requests of a client that reads no answer");
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String name = "client-" + i;
      callers.add(Thread.startVirtualThread(() -> sendAhead(gateway, name, unread)));
    }
    awaitAll(CLIENTS);
    List<Thread> pressing = new ArrayList<>();
    if (run.isDisturbed) {
      run.record.add(LARGE_BODY_CLIENTS + " clients send bodies of " + LARGE_BODY_BYTES + " bytes");
      long until = System.currentTimeMillis() + LARGE_BODY_MILLIS;
      for (int i = 0; i < LARGE_BODY_CLIENTS; i++) {
        String name = "large-" + i;
        pressing.add(Thread.startVirtualThread(() -> sendLarge(gateway, name, until)));
      }
    }
    Run.sleep(3_000);
    isPressed.countDown();
    for (Thread caller : callers) {
      caller.join();
    }
    for (Thread caller : pressing) {
      caller.join();
    }
    for (Worker worker : workers) {
      worker.close();
    }

    int whole = 0;
    int changed = 0;
    for (int i = 0; i < CLIENTS; i++) {
      Integer length = bodies.get("client-" + i + "-confirm");
      whole += length != null && length == BODY_BYTES ? 1 : 0;
      changed += length != null && length != BODY_BYTES ? 1 : 0;
    }
    String summary =
        changed + " of " + CLIENTS + " confirmations ran with another body, " + whole + " whole";
    run.record.add(summary);
    System.out.println(summary);
    if (changed == 0 && whole == 0) {
      return Run.NOT_RUN;
    }
    return changed > 0 ? Run.BROKEN : Run.HELD;
  }

  private void answer(Worker worker, Message request, Socket socket, OutputStream output)
      throws Exception {
    String attempt = request.header("Attempt-Id");
    boolean isRead = request.target().startsWith("/read/");
    ran.add(attempt);
    if (!isRead) {
      bodies.put(attempt, request.length());
      if (!attempt.startsWith("large-")) {
        run.record.add(worker.id + " runs " + attempt + ", body of " + request.length() + " bytes");
      }
      Run.sleep(WORK_MILLIS);
    }
    Worker.write(
        output, worker.head(request, 200), "x".repeat(isRead ? ANSWER_BYTES : 9));
  }

  private static Socket connectSlowReader(Run.Gateway gateway) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), gateway.port), 1_000);
    socket.setSoTimeout(10_000);
    return socket;
  }

  /** Returns how many requests are started before the gateway waits for the client to read. */
  private int countAnswersUntilStall(Run.Gateway gateway) throws IOException {
    try (Socket socket = connectSlowReader(gateway)) {
      for (int i = 0; i < MAX_READS; i++) {
        if (!sendRead(socket, "first-" + i)) {
          return i;
        }
      }
    }
    throw new IOException("the gateway does not wait for a client that does not read");
  }

  /** Sends a request whose answer is not read, and returns whether it runs. */
  private boolean sendRead(Socket socket, String attempt) throws IOException {
    Run.send(socket, Run.request("GET", "/read/x", attempt, "", 0));
    long until = System.currentTimeMillis() + STALLED_MILLIS;
    while (!ran.contains(attempt)) {
      if (System.currentTimeMillis() > until) {
        return false;
      }
      Run.sleep(1);
    }
    // The answer is written before the next request arrives.
    Run.sleep(2);
    return true;
  }

  private final Set<String> waiting = ConcurrentHashMap.newKeySet();

  private void awaitAll(int clients) throws IOException {
    long until = System.currentTimeMillis() + 40_000;
    while (waiting.size() < clients) {
      if (System.currentTimeMillis() > until) {
        throw new IOException("only " + waiting.size() + " clients have sent their requests");
      }
      Run.sleep(20);
    }
  }

  private void sendAhead(Run.Gateway gateway, String name, int reads) {
    String attempt = name + "-confirm";
    byte[] body = new byte[BODY_BYTES];
    Arrays.fill(body, (byte) 'b');
    try (Socket socket = connectSlowReader(gateway)) {
      for (int i = 0; i < reads; i++) {
        sendRead(socket, name + "-read-" + i);
      }
      OutputStream output = socket.getOutputStream();
      output.write(
          Run.request("POST", "/confirm/x", attempt, "", BODY_BYTES)
              .getBytes(StandardCharsets.ISO_8859_1));
      output.flush();
      Run.sleep(50);
      output.write(body, 0, FIRST_PIECE_BYTES);
      output.flush();
      waiting.add(name);
      isPressed.await();
      run.record.add("client reads its answers and sends the rest of the body of " + attempt);
      Thread rest =
          Thread.startVirtualThread(
              () -> {
                try {
                  Run.sleep(SECOND_PIECE_MILLIS);
                  output.write(body, FIRST_PIECE_BYTES, BODY_BYTES - FIRST_PIECE_BYTES);
                  output.flush();
                } catch (IOException e) {
                  run.record.add("client cannot send the body of " + attempt + ": " + e);
                }
              });
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      Message head = null;
      for (int i = 0; i <= reads; i++) {
        head = Message.read(input);
        if (head == null) {
          break;
        }
        input.readNBytes(head.length());
      }
      rest.join();
      run.record.add(
          "client gets for " + attempt + ": " + (head == null ? "no answer" : head.start()));
    } catch (IOException | InterruptedException e) {
      waiting.add(name);
      run.record.add("client gets for " + attempt + ": " + e);
    }
  }

  private void sendLarge(Run.Gateway gateway, String name, long until) {
    byte[] body = new byte[LARGE_BODY_BYTES];
    for (int i = 0; System.currentTimeMillis() < until; i++) {
      try (Socket socket = Run.connect(gateway.port)) {
        socket.setSoTimeout(4_000);
        Run.send(
            socket, Run.request("POST", "/confirm/x", name + "-" + i, "", LARGE_BODY_BYTES));
        socket.getOutputStream().write(body);
        Run.readReply(socket);
      } catch (IOException e) {
        Run.sleep(20);
      }
    }
  }
}
