import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An idempotent request crashes each worker that begins to run it, before the worker has sent
 * anything. The client sends it again every few seconds.
 */
final class CrashingLookup {

  private static final int SENDS = 8;
  private static final long SEND_INTERVAL_MILLIS = 6_000;
  private static final long STABLE_WINDOW_MILLIS = 4_000;
  private static final int WORKERS = 3;
  private static final int MAX_ATTEMPTS = 3;
  private static final int ALLOWED_RETRIES = 3;
  private static final String DEADLY = "deadly-";

  private final CaseRun run;
  private final AtomicInteger started = new AtomicInteger();
  private final List<Long> crashes = new CopyOnWriteArrayList<>();
  private final List<Long> arrivals = new CopyOnWriteArrayList<>();

  private CrashingLookup(CaseRun run) {
    this.run = run;
  }

  public static void main(String[] arguments) {
    CaseRun.run(arguments, run -> new CrashingLookup(run).isBroken());
  }

  private void startWorker() throws IOException {
    Worker[] self = new Worker[1];
    String id = "w-" + started.incrementAndGet();
    self[0] = new Worker(run.store(), id, "app", 6, request -> answer(self[0], request));
  }

  private void answer(Worker worker, Worker.Request request)
      throws IOException, InterruptedException {
    boolean deadly = request.attempt().startsWith(DEADLY);
    if (deadly) {
      arrivals.add(System.nanoTime());
      run.record("worker " + worker.id() + " begins to run " + request.attempt());
    }
    Thread.sleep(60);
    if (deadly && run.withTrouble()) {
      crashes.add(System.nanoTime());
      run.record("worker " + worker.id() + " crashes; crash " + crashes.size());
      worker.crash();
      Thread.ofVirtual().start(this::restartLater);
    } else {
      request.answerWhole(200, "done");
    }
  }

  /** A crashed worker is back after some seconds, with a new id. */
  private void restartLater() {
    try {
      Thread.sleep(3_000);
      startWorker();
    } catch (IOException | InterruptedException e) {
      run.record("no worker started: " + e);
    }
  }

  private boolean isBroken() throws Exception {
    String manifest = Manifest.text(2);
    int route = manifest.indexOf("\"r-catalogue\"");
    run.store()
        .put(
            "keyed.op",
            "config",
            manifest.substring(0, route)
                + manifest
                    .substring(route)
                    .replace("\"max_attempts\":2", "\"max_attempts\":" + MAX_ATTEMPTS));
    for (int worker = 0; worker < WORKERS; worker++) {
      startWorker();
    }
    GatewayProgram gateway = run.startGateway("vm-1");
    Thread.sleep(STABLE_WINDOW_MILLIS);
    for (int send = 1; send <= SENDS; send++) {
      String attempt = DEADLY + send;
      run.record("client sends " + attempt);
      try (Caller caller = new Caller(gateway.port())) {
        caller.send(Caller.head("GET", "/catalogue/7", attempt, 4_000, ""));
        run.record("client of " + attempt + ": " + caller.read(5_000));
      }
      Thread.sleep(SEND_INTERVAL_MILLIS);
    }
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
            + ALLOWED_RETRIES);
    return retries > ALLOWED_RETRIES;
  }
}
