import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three engines answers its requests with bytes that do not end: after the head of an error,
 * or before a head, as interim responses. Requests for another service, whose servers are sound,
 * are sent to the same gateways.
 */
public final class EndlessAnswerCase {

  private static final int RUN_MILLIS = 30_000;
  private static final int STREAM_INTERVAL_MILLIS = 100;
  private static final int PLAIN_INTERVAL_MILLIS = 150;

  private static final String INTERIM_RESPONSE = "HTTP/1.1 100 \r\n\r\n";

  private static final int BLOCK_BYTES = 16_384;
  private static final int EVENTS = 90;
  private static final int EVENT_GAP_MILLIS = 100;

  /** Four times the objective: callers leave a stream whose first event does not come for so long. */
  private static final int STREAM_PATIENCE_MILLIS = 7_200;

  /** Time limit of the route and, longer, that of the callers. */
  private static final int PLAIN_TIMEOUT_MILLIS = 2_000;

  private static final int PLAIN_DEADLINE_MILLIS = 4_000;
  private static final int CHECK_INTERVAL_MILLIS = 2_000;
  private static final int LATE_MILLIS = 500;

  private static final String SERVICES =
      """
      {"name":"llm","health_path":"/healthz","max_connections":232,"protocol":"h1","tls":false,
      "cold_s":1.0,"cold_per_s":38.0,"engine":{"slots":24,"kv_capacity":34192,
      "kv_token_bytes":192512,"link_mbps":28000.0,"moves":true,"backups":true,"stride":4,"most":12,
      "pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"model_list":[{"name":"m"}]}},
      {"name":"app","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,
      "cold_s":0.0,"cold_per_s":0.0}""";

  private static final String ROUTES =
      """
      {"name":"letter","host":"salon.example","path_prefix":"/letter/","route_kind":"streaming",
      "timeout_ms":39000,"target_latency_ms":1800,"priority":1,"service":"llm","max_attempts":1,
      "public":false,"sticky":true,"resumable":false,"target_gap_ms":180,"allowed_regions":[]},
      {"name":"confirm","host":"salon.example","path_prefix":"/confirm/",
      "route_kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,
      "service":"app","max_attempts":1,"public":false,"sticky":false,"resumable":false,
      "target_gap_ms":0,"allowed_regions":[]}""";

  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final Run run;
  private final Endless bytes;

  /**
   * What the faulty engine sends.
   *
   * @param status status of a head before the bytes; 0 without one
   * @param block bytes that are repeated
   * @param perSecond bytes that are sent on each connection in a second
   */
  private record Endless(int status, String block, int perSecond) {}

  private EndlessAnswerCase(Run run, Endless bytes) {
    this.run = run;
    this.bytes = bytes;
  }

  public static void main(String[] arguments) throws Exception {
    int result = Run.NOT_RUN;
    try (Run run = new Run(Path.of(arguments[0]))) {
      Endless bytes =
          switch (arguments[1]) {
            case "body" -> new Endless(500, "x".repeat(BLOCK_BYTES), 1_100_000);
            case "head" ->
                new Endless(
                    0, INTERIM_RESPONSE.repeat(BLOCK_BYTES / INTERIM_RESPONSE.length()), 5_000_000);
            default -> throw new IOException("unknown kind of answer " + arguments[1]);
          };
      result = new EndlessAnswerCase(run, bytes).play();
      run.record.add("exit " + result);
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(result);
  }

  private int play() throws Exception {
    run.configure(SERVICES, ROUTES);
    List<Worker> workers = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      boolean isFaulty = run.isDisturbed && i == 1;
      Worker.Behaviour behaviour = isFaulty ? this::answerWithoutEnd : EndlessAnswerCase::stream;
      workers.add(
          new Worker(run.store, run.record, "engine-" + i, "llm", "v1", 24, behaviour));
      workers.add(
          new Worker(run.store, run.record, "app-" + i, "app", "v1", 6, EndlessAnswerCase::answer));
    }
    Run.Gateway first = run.startGateway("edge-1");
    Run.Gateway second = run.startGateway("edge-2");
    run.awaitReady();
    // The gateways find each other.
    Run.sleep(6_000);

    List<Thread> callers = new ArrayList<>();
    long startedAt = System.currentTimeMillis();
    long nextStream = 0;
    long nextPlain = 0;
    long nextCheck = 0;
    int number = 0;
    for (long now = 0; now < RUN_MILLIS; now = System.currentTimeMillis() - startedAt) {
      int current = number++;
      if (now >= nextStream) {
        nextStream += STREAM_INTERVAL_MILLIS;
        // The share of the connections is uneven, as the platform forwards them by a hash.
        Run.Gateway gateway = current % 3 == 0 ? second : first;
        callers.add(Thread.startVirtualThread(() -> callStream(gateway, "letter-" + current)));
      }
      if (now >= nextPlain) {
        nextPlain += PLAIN_INTERVAL_MILLIS;
        Run.Gateway gateway = current % 2 == 0 ? first : second;
        callers.add(Thread.startVirtualThread(() -> callPlain(gateway, "confirm-" + current)));
      }
      if (now >= nextCheck) {
        nextCheck += CHECK_INTERVAL_MILLIS;
        callers.add(Thread.startVirtualThread(() -> checkReady(first)));
        callers.add(Thread.startVirtualThread(() -> checkReady(second)));
      }
      Run.sleep(10);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    for (Worker worker : workers) {
      worker.close();
    }
    String summary =
        "confirmations: "
            + served
            + " served, "
            + late
            + " unanswered at timeout_ms, of these "
            + unanswered
            + " without an answer "
            + LATE_MILLIS
            + " ms later";
    run.record.add(summary);
    System.out.println(summary);
    if (served.get() < 20) {
      return Run.NOT_RUN;
    }
    return late.get() >= 10 && unanswered.get() * 2 > late.get() ? Run.BROKEN : Run.HELD;
  }

  private void checkReady(Run.Gateway gateway) {
    boolean isReady = Run.isReady(gateway);
    run.record.add(
        gateway.name
            + (gateway.process.isAlive() ? " runs, " : " has ended, ")
            + (isReady ? "ready" : "not ready"));
  }

  private static void answer(
      Worker worker, Message request, Socket socket, java.io.OutputStream output)
      throws Exception {
    Run.sleep(60);
    Worker.write(output, worker.head(request, 200), "confirmed");
  }

  private static void stream(
      Worker worker, Message request, Socket socket, java.io.OutputStream output)
      throws Exception {
    Worker.write(
        output,
        worker.head(request, 200)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= EVENTS; event++) {
      Run.sleep(EVENT_GAP_MILLIS);
      Worker.chunk(output, "id: " + event + "\ndata: words\n\n");
    }
    Worker.write(output, "0\r\n\r\n");
  }

  /** Sends bytes until the gateway closes the connection. */
  private void answerWithoutEnd(
      Worker worker, Message request, Socket socket, java.io.OutputStream output)
      throws Exception {
    run.record.add(worker.id + " answers " + request.header("Attempt-Id") + " without end");
    if (bytes.status() > 0) {
      Worker.write(output, worker.head(request, bytes.status()) + "\r\n");
    }
    long startedAt = System.currentTimeMillis();
    for (long sent = 0; ; sent += bytes.block().length()) {
      Worker.write(output, bytes.block());
      long dueAt = startedAt + sent * 1_000 / bytes.perSecond();
      Run.sleep(Math.max(0, dueAt - System.currentTimeMillis()));
    }
  }

  private void callStream(Run.Gateway gateway, String attempt) {
    try (Socket socket = Run.connect(gateway.port)) {
      socket.setSoTimeout(STREAM_PATIENCE_MILLIS);
      Run.send(
          socket,
          Run.request(
              "POST",
              "/letter/x",
              attempt,
              "Model: m\r\nToken-Usage: 500,240\r\nPrompt-Prefix: 5c1e07a2:79,e4402b7d:421\r\n"
                  + "Deadline-Ms: 39000\r\n",
              0));
      Run.Reply reply = Run.readReply(socket);
      run.record.add(
          attempt + " at " + gateway.name + ": status " + reply.status()
              + (reply.isWhole() ? ", whole" : ", not whole"));
    } catch (IOException e) {
      run.record.add(attempt + " at " + gateway.name + ": " + e.getMessage());
    }
  }

  private void callPlain(Run.Gateway gateway, String attempt) {
    long sentAt = System.currentTimeMillis();
    String result;
    try (Socket socket = Run.connect(gateway.port)) {
      socket.setSoTimeout(PLAIN_DEADLINE_MILLIS);
      Run.send(
          socket, Run.request("POST", "/confirm/x", attempt, "Deadline-Ms: 4000\r\n", 0));
      Run.Reply reply = Run.readReply(socket);
      if (reply.status() == 200) {
        served.incrementAndGet();
      }
      result = reply.status() == -1 ? "no answer" : "status " + reply.status();
    } catch (IOException e) {
      result = e.getMessage();
    }
    long age = System.currentTimeMillis() - sentAt;
    run.record.add(attempt + " at " + gateway.name + ": " + result + " after " + age + " ms");
    if (age >= PLAIN_TIMEOUT_MILLIS) {
      late.incrementAndGet();
    }
    if (age >= PLAIN_TIMEOUT_MILLIS + LATE_MILLIS) {
      unanswered.incrementAndGet();
    }
  }
}
