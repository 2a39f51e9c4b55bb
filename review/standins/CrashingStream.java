import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A streaming request crashes each engine that runs it, just after the engine has sent the first
 * event. The client sends it again every few seconds.
 */
final class CrashingStream {

  private static final int SENDS = 10;
  private static final long SEND_INTERVAL_MILLIS = 5_000;
  private static final long STABLE_WINDOW_MILLIS = 4_000;
  private static final int ENGINES = 3;
  private static final int ALLOWED_RETRIES = 3;
  private static final String DEADLY = "deadly-";

  private final CaseRun run;
  private final AtomicInteger started = new AtomicInteger();
  private final AtomicInteger cutLetters = new AtomicInteger();
  private final List<Long> crashes = new CopyOnWriteArrayList<>();
  private final List<Long> arrivals = new CopyOnWriteArrayList<>();
  private final AtomicBoolean ended = new AtomicBoolean();

  private CrashingStream(CaseRun run) {
    this.run = run;
  }

  public static void main(String[] arguments) {
    CaseRun.run(arguments, run -> new CrashingStream(run).isBroken());
  }

  private void startEngine() throws IOException {
    Worker[] self = new Worker[1];
    String id = "e-" + started.incrementAndGet();
    self[0] = new Worker(run.store(), id, "llm", 24, request -> answer(self[0], request));
  }

  private void answer(Worker engine, Worker.Request request)
      throws IOException, InterruptedException {
    boolean deadly = request.attempt().startsWith(DEADLY);
    if (deadly) {
      arrivals.add(System.nanoTime());
      run.record("worker " + engine.id() + " begins to run " + request.attempt());
    }
    Thread.sleep(200);
    request.write(
        request.signedHead(
            200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    for (int event = 1; event <= 30; event++) {
      request.writeChunk("id: " + event + "\ndata: tokens\n\n");
      Thread.sleep(40);
      if (deadly && run.withTrouble()) {
        crashes.add(System.nanoTime());
        run.record("worker " + engine.id() + " crashes; crash " + crashes.size());
        engine.crash();
        Thread.ofVirtual().start(this::restartLater);
        return;
      }
    }
    request.write("0\r\n\r\n");
  }

  /** A crashed worker is back after some seconds, with a new id. */
  private void restartLater() {
    try {
      Thread.sleep(3_000);
      startEngine();
    } catch (IOException | InterruptedException e) {
      run.record("no engine started: " + e);
    }
  }

  private static String prompt(String part) {
    return "Model: m\r\nToken-Usage: 400,120\r\nPrompt-Prefix: 5c1e07a2:80,"
        + part
        + ":320\r\nContent-Length: 4\r\n";
  }

  /** Other clients send sound requests, which share the first part of their prompts. */
  private void sendLetters(int port) {
    for (int letter = 0; !ended.get(); letter++) {
      String attempt = "letter-" + letter;
      Thread.ofVirtual()
          .start(
              () -> {
                try (Caller caller = new Caller(port)) {
                  String part = Integer.toHexString(attempt.hashCode());
                  caller.send(
                      Caller.head("POST", "/letter/x", attempt, 39_000, prompt(part)) + "text");
                  Caller.Answer answer = caller.read(10_000);
                  if (answer.end() != Caller.End.WHOLE || answer.status() != 200) {
                    cutLetters.incrementAndGet();
                    run.record("client of " + attempt + ": " + answer);
                  }
                } catch (IOException e) {
                  run.record("client of " + attempt + ": " + e);
                }
              });
      try {
        Thread.sleep(400);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean isBroken() throws Exception {
    for (int engine = 0; engine < ENGINES; engine++) {
      startEngine();
    }
    GatewayProgram gateway = run.startGateway("vm-1");
    Thread.ofVirtual().start(() -> sendLetters(gateway.port()));
    Thread.sleep(STABLE_WINDOW_MILLIS);
    for (int send = 1; send <= SENDS; send++) {
      String attempt = DEADLY + send;
      run.record("client sends " + attempt);
      try (Caller caller = new Caller(gateway.port())) {
        caller.send(Caller.head("POST", "/letter/7", attempt, 39_000, prompt("c0ffee")) + "text");
        run.record("client of " + attempt + ": " + caller.read(SEND_INTERVAL_MILLIS - 500));
      }
      Thread.sleep(SEND_INTERVAL_MILLIS - 1_000);
    }
    ended.set(true);
    Thread.sleep(2_500);
    if (crashes.size() < 3) {
      run.record("crashes: " + crashes.size());
      return false;
    }
    long late = crashes.get(2) + STABLE_WINDOW_MILLIS * 1_000_000;
    long retries = arrivals.stream().filter(arrival -> arrival > late).count();
    run.record(
        "crashes: "
            + crashes.size()
            + "; the request reached workers "
            + retries
            + " times later than "
            + STABLE_WINDOW_MILLIS
            + " ms after its third crash; allowed: "
            + ALLOWED_RETRIES
            + "; other letters cut: "
            + cutLetters.get());
    return retries > ALLOWED_RETRIES;
  }
}
