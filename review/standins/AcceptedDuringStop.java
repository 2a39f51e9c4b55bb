import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A gateway that has got SIGTERM accepts short streams on kept connections about 6 s later. The
 * engine is sound and has free slots; it reads one prompt after the other, 14 tokens in a millisecond.
 */
final class AcceptedDuringStop {

  private static final int CLIENTS = 14;
  private static final int PROMPT_TOKENS = 2_200;
  private static final int TOKENS_PER_MILLISECOND = 14;
  private static final int EVENTS = 3;
  private static final long EVENT_MILLIS = 40;
  private static final long GRACE_MILLIS = 8_000;

  /** Requests that are sent no later than this after the signal may be cut. */
  private static final long EXCUSED_MILLIS = 3_000;

  private static final long FIRST_SENT_MILLIS = 5_950;

  private final CaseRun run;
  private final Object prefill = new Object();
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();

  private record Result(String attempt, long sentAt, long endedAt, Caller.Answer answer) {}

  private AcceptedDuringStop(CaseRun run) {
    this.run = run;
  }

  public static void main(String[] arguments) {
    CaseRun.run(arguments, run -> new AcceptedDuringStop(run).isBroken());
  }

  private void answer(Worker.Request request) throws IOException, InterruptedException {
    arrived.add(request.attempt());
    run.record("request " + request.attempt() + " reaches the worker");
    request.write(
        request.signedHead(
            200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    synchronized (prefill) {
      Thread.sleep(PROMPT_TOKENS / TOKENS_PER_MILLISECOND);
    }
    int events = request.head().second().startsWith("/letter/") ? 400 : EVENTS;
    for (int event = 1; event <= events; event++) {
      request.writeChunk("id: " + event + "\ndata: tokens\n\n");
      Thread.sleep(EVENT_MILLIS);
    }
    request.write("0\r\n\r\n");
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  private static String tag(String attempt) {
    return Caller.head(
            "POST",
            "/tag/x",
            attempt,
            6_000,
            "Model: m\r\nToken-Usage: " + PROMPT_TOKENS + ",12\r\nContent-Length: 4\r\n")
        + "text";
  }

  private boolean isBroken() throws Exception {
    try (Worker engine = new Worker(run.store(), "e-1", "llm", 24, this::answer);
        ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor()) {
      GatewayProgram gateway = run.startGateway("vm-1");
      List<Caller> clients = new ArrayList<>();
      for (int client = 0; client < CLIENTS; client++) {
        Caller caller = new Caller(gateway.port());
        caller.send(tag("first-" + client));
        run.record("client " + client + " keeps its connection after: " + caller.read(6_000));
        clients.add(caller);
      }
      Caller letter = new Caller(gateway.port());
      letter.send(
          Caller.head(
              "POST", "/letter/x", "letter", 39_000, "Token-Usage: 2200,1600\r\nContent-Length: 0\r\n"));
      Thread.sleep(500);
      long terminatedAt = millis();
      if (run.withTrouble()) {
        run.record("SIGTERM");
        gateway.terminate();
        Thread.ofVirtual().start(() -> killAfterGrace(gateway));
      }
      Thread.sleep(FIRST_SENT_MILLIS);
      List<Future<Result>> results = new ArrayList<>();
      for (int client = 0; client < CLIENTS; client++) {
        Caller caller = clients.get(client);
        String attempt = "tag-" + client;
        results.add(
            calls.submit(
                () -> {
                  long sentAt = millis();
                  try {
                    caller.send(tag(attempt));
                  } catch (IOException e) {
                    run.record("client of " + attempt + ": the connection was closed before");
                  }
                  Caller.Answer answer = caller.read(7_000);
                  return new Result(attempt, sentAt, millis(), answer);
                }));
        Thread.sleep(40);
      }
      int lost = 0;
      for (Future<Result> each : results) {
        Result result = each.get();
        long sent = result.sentAt() - terminatedAt;
        boolean isLost = result.answer().end() != Caller.End.WHOLE
                && arrived.contains(result.attempt())
                && sent > EXCUSED_MILLIS;
        lost += isLost ? 1 : 0;
        run.record(
            "client of "
                + result.attempt()
                + ": "
                + result.answer()
                + ", sent "
                + sent
                + " ms and ended "
                + (result.endedAt() - terminatedAt)
                + " ms after the moment of the signal"
                + (isLost ? ": LOST" : ""));
      }
      letter.close();
      run.record("passed on to a worker and cut off without an answer: " + lost);
      return lost > 0;
    }
  }

  private void killAfterGrace(GatewayProgram gateway) {
    try {
      Thread.sleep(GRACE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    run.record("end of grace_s: SIGKILL" + (gateway.isAlive() ? "" : ", the process had ended"));
    gateway.close();
  }
}
