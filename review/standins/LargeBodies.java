import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;

/**
 * Many clients send requests at once whose bodies are within the limit of the manifest, but larger
 * together than the heap of the gateway. Without the disruption, a few of them are sent at a time.
 */
final class LargeBodies {

  private static final int LARGE_REQUESTS = 40;
  private static final int AT_A_TIME_WITHOUT_TROUBLE = 4;

  /** The limit of the manifest is 4,194,304. */
  private static final int BODY_BYTES = 4_000_000;

  private static final int SMALL_REQUESTS = 30;
  private static final long SMALL_INTERVAL_MILLIS = 100;
  private static final long ROUTE_TIMEOUT_MILLIS = 2_000;
  private static final long SLACK_MILLIS = 500;
  private static final long LATER_MILLIS = 10_000;
  private static final int CLIENT_TIMEOUT_MILLIS = 4_000;

  private final CaseRun run;
  private final Set<String> arrived = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> outcomes = new TreeMap<>();

  /**
   * A request as its client saw it.
   *
   * @param readMillis time until the gateway had taken the whole request, -1 if it never did
   * @param answerMillis time from then to the end of the answer
   */
  private record Result(
      String attempt, boolean large, long readMillis, long answerMillis, Caller.Answer answer) {}

  private LargeBodies(CaseRun run) {
    this.run = run;
  }

  public static void main(String[] arguments) {
    CaseRun.run(arguments, run -> new LargeBodies(run).isBroken());
  }

  private void answer(Worker.Request request) throws IOException, InterruptedException {
    arrived.add(request.attempt());
    Thread.sleep(60);
    request.answerWhole(200, "done");
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  private Result call(int port, String attempt, boolean large) {
    String head =
        large
            ? Caller.head(
                "POST",
                "/confirm/x",
                attempt,
                CLIENT_TIMEOUT_MILLIS,
                "Content-Length: " + BODY_BYTES + "\r\n")
            : Caller.head("GET", "/catalogue/x", attempt, CLIENT_TIMEOUT_MILLIS, "");
    long startedAt = millis();
    try (Caller caller = new Caller(port)) {
      caller.send(head + (large ? "b".repeat(BODY_BYTES) : ""));
      long readAt = millis();
      Caller.Answer answer = caller.read(CLIENT_TIMEOUT_MILLIS);
      return new Result(attempt, large, readAt - startedAt, millis() - readAt, answer);
    } catch (IOException e) {
      return new Result(
          attempt, large, -1, 0, new Caller.Answer(0, null, "", Caller.End.CLOSED));
    }
  }

  /** Shows whether the gateway serves again; not judged. */
  private void recordLaterRequests(int port) throws InterruptedException {
    Thread.sleep(LATER_MILLIS);
    Map<String, Integer> later = new TreeMap<>();
    for (int request = 0; request < 10; request++) {
      later.merge(call(port, "later-" + request, false).answer().toString(), 1, Integer::sum);
    }
    run.record("small requests " + LATER_MILLIS + " ms later (not judged): " + later);
  }

  private boolean isBroken() throws Exception {
    try (Worker first = new Worker(run.store(), "w-1", "app", 6, this::answer);
        Worker second = new Worker(run.store(), "w-2", "app", 6, this::answer);
        Worker third = new Worker(run.store(), "w-3", "app", 6, this::answer);
        ExecutorService calls = Executors.newVirtualThreadPerTaskExecutor()) {
      run.record("workers " + first.id() + ", " + second.id() + ", " + third.id());
      GatewayProgram gateway = run.startGateway("vm-1");
      Semaphore atATime =
          new Semaphore(run.withTrouble() ? LARGE_REQUESTS : AT_A_TIME_WITHOUT_TROUBLE);
      List<Future<Result>> results = new ArrayList<>();
      for (int request = 0; request < LARGE_REQUESTS; request++) {
        String attempt = "large-" + request;
        results.add(
            calls.submit(
                () -> {
                  atATime.acquire();
                  try {
                    return call(gateway.port(), attempt, true);
                  } finally {
                    atATime.release();
                  }
                }));
      }
      for (int request = 0; request < SMALL_REQUESTS; request++) {
        String attempt = "small-" + request;
        results.add(calls.submit(() -> call(gateway.port(), attempt, false)));
        if (request % 10 == 9) {
          run.record("readiness check answered with 200: " + gateway.isReady());
        }
        Thread.sleep(SMALL_INTERVAL_MILLIS);
      }
      int unansweredAtTimeout = 0;
      int unansweredLater = 0;
      for (Future<Result> each : results) {
        Result result = each.get();
        String outcome =
            (result.large() ? "large: " : "small: ")
                + (result.readMillis() < 0 ? "not taken" : result.answer().toString());
        outcomes.merge(outcome, 1, Integer::sum);
        run.record(
            result.attempt()
                + ": taken after "
                + result.readMillis()
                + " ms, then after "
                + result.answerMillis()
                + " ms "
                + result.answer()
                + (arrived.contains(result.attempt()) ? ", ran" : ""));
        if (result.readMillis() >= 0 && result.answerMillis() > ROUTE_TIMEOUT_MILLIS) {
          unansweredAtTimeout++;
          unansweredLater += result.answerMillis() > ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
        }
      }
      run.record("outcomes: " + outcomes);
      recordLaterRequests(gateway.port());
      run.record(
          "lines in the log of the gateway about memory that ran out: "
              + run.logLines("vm-1", "OutOfMemoryError").size());
      run.record(
          "unanswered at the timeout of the route: "
              + unansweredAtTimeout
              + "; still "
              + SLACK_MILLIS
              + " ms later: "
              + unansweredLater);
      return unansweredLater * 2 > unansweredAtTimeout;
    }
  }
}
