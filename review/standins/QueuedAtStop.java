import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A gateway gets SIGTERM while requests that it has read wait for a place at an engine. */
final class QueuedAtStop {

  private static final int SLOTS = 24;
  private static final int QUEUED = 6;
  private static final long GRACE_MILLIS = 8_000;
  private static final long LOSS_SLACK_MILLIS = 200;

  /** Events of the letters that fill the engine; they last 14 s. */
  private static final int EVENTS = 350;

  private static final long EVENT_MILLIS = 40;
  private static final String WAITING = "waiting-";

  private final CaseRun run;
  private final Map<String, Long> arrived = new ConcurrentHashMap<>();

  private record Result(String attempt, long sentAt, long endedAt, Caller.Answer answer) {}

  private QueuedAtStop(CaseRun run) {
    this.run = run;
  }

  public static void main(String[] arguments) {
    CaseRun.run(arguments, run -> new QueuedAtStop(run).isBroken());
  }

  private void answer(Worker.Request request) throws IOException, InterruptedException {
    arrived.put(request.attempt(), millis());
    run.record("worker begins to run " + request.attempt());
    request.write(
        request.signedHead(
            200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    for (int event = 1; event <= EVENTS; event++) {
      request.writeChunk("id: " + event + "\ndata: tokens\n\n");
      Thread.sleep(EVENT_MILLIS);
    }
    request.write("0\r\n\r\n");
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  private Result call(int port, String attempt) throws IOException {
    try (Caller caller = new Caller(port)) {
      caller.send(
          Caller.head(
                  "POST", "/letter/x", attempt, 39_000, "Token-Usage: 400,800\r\nContent-Length: 4\r\n")
              + "text");
      long sentAt = millis();
      Caller.Answer answer = caller.read(39_000);
      return new Result(attempt, sentAt, millis(), answer);
    }
  }

  private boolean isBroken() throws Exception {
    try (Worker engine = new Worker(run.store(), "e-1", "llm", SLOTS, this::answer);
        ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor()) {
      GatewayProgram gateway = run.startGateway("vm-1");
      List<Future<Result>> running = new ArrayList<>();
      for (int letter = 0; letter < SLOTS; letter++) {
        String attempt = "running-" + letter;
        running.add(calls.submit(() -> call(gateway.port(), attempt)));
        Thread.sleep(40);
      }
      List<Future<Result>> waiting = new ArrayList<>();
      for (int letter = 0; letter < QUEUED; letter++) {
        String attempt = WAITING + letter;
        run.record("client sends " + attempt);
        waiting.add(calls.submit(() -> call(gateway.port(), attempt)));
        Thread.sleep(40);
      }
      Thread.sleep(300);
      long terminatedAt = millis();
      if (run.withTrouble()) {
        run.record("SIGTERM");
        gateway.terminate();
        Thread.ofVirtual().start(() -> killAfterGrace(gateway));
      }
      int lost = 0;
      for (Future<Result> each : waiting) {
        Result result = each.get();
        boolean passedOn = arrived.containsKey(result.attempt());
        boolean isLost =
            result.answer().end() != Caller.End.WHOLE
                && !passedOn
                && result.endedAt() - result.sentAt() > LOSS_SLACK_MILLIS;
        lost += isLost ? 1 : 0;
        run.record(
            "client of "
                + result.attempt()
                + ": "
                + result.answer()
                + ", sent "
                + (terminatedAt - result.sentAt())
                + " ms before and ended "
                + (result.endedAt() - terminatedAt)
                + " ms after the moment of the signal"
                + (passedOn ? "" : ", reached no worker")
                + (isLost ? ": LOST" : ""));
      }
      for (Future<Result> each : running) {
        Result result = each.get();
        run.record("client of " + result.attempt() + ": " + result.answer() + " (not judged)");
      }
      run.record("read whole, not passed on and cut off without an answer: " + lost);
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
