import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Another writer puts an entry that cannot be read among the entries of the workers. Then a worker
 * reports that it is draining, and another one starts.
 */
final class UnreadableEntry {

  /** Bytes of the entry; a record of the store may have 262,144. */
  private static final int ENTRY_BYTES = 4_000;

  private static final long DRAIN_MILLIS = 2_500;
  private static final long STABLE_WINDOW_MILLIS = 4_000;
  private static final long SERVES_ON_MILLIS = 10_000;
  private static final long REQUEST_INTERVAL_MILLIS = 100;

  private final CaseRun run;
  private final AtomicBoolean ended = new AtomicBoolean();

  /** Times at which requests arrived, by worker. */
  private final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();

  private UnreadableEntry(CaseRun run) {
    this.run = run;
  }

  public static void main(String[] arguments) {
    CaseRun.run(arguments, run -> new UnreadableEntry(run).isBroken());
  }

  private Worker startWorker(String id) throws IOException {
    arrivals.put(id, new ArrayList<>());
    return new Worker(
        run.store(),
        id,
        "app",
        6,
        request -> {
          synchronized (arrivals) {
            arrivals.get(id).add(millis());
          }
          run.record("worker " + id + " begins to run " + request.attempt());
          Thread.sleep(20);
          request.answerWhole(200, "done by " + id);
        });
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }

  private void sendRequests(int port) {
    for (int request = 0; !ended.get(); request++) {
      String attempt = "lookup-" + request;
      Thread.ofVirtual()
          .start(
              () -> {
                try (Caller caller = new Caller(port)) {
                  caller.send(Caller.head("GET", "/catalogue/" + attempt, attempt, 4_000, ""));
                  run.record("client of " + attempt + ": " + caller.read(4_500));
                } catch (IOException e) {
                  run.record("client of " + attempt + ": " + e);
                }
              });
      try {
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private int arrivalsAfter(String worker, long time) {
    synchronized (arrivals) {
      return (int) arrivals.get(worker).stream().filter(arrival -> arrival > time).count();
    }
  }

  private boolean isBroken() throws Exception {
    try (Worker leaving = startWorker("w-1");
        Worker staying = startWorker("w-2")) {
      GatewayProgram gateway = run.startGateway("vm-1");
      Thread.ofVirtual().start(() -> sendRequests(gateway.port()));
      Thread.sleep(STABLE_WINDOW_MILLIS);
      if (run.withTrouble()) {
        run.store().put("keyed.servers", "written-by-another", "[".repeat(ENTRY_BYTES));
        run.record("another writer has put an entry that cannot be read");
      }
      Thread.sleep(3_000);
      leaving.drain();
      long acknowledgedAt = millis();
      run.record("the store has acknowledged that worker " + leaving.id() + " is draining");
      try (Worker added = startWorker("w-3")) {
        run.record("worker " + added.id() + " has started, beside " + staying.id());
        Thread.sleep(SERVES_ON_MILLIS);
      }
      ended.set(true);
      Thread.sleep(1_000);
      int late = arrivalsAfter("w-1", acknowledgedAt + DRAIN_MILLIS);
      Map<String, Integer> counts = new TreeMap<>();
      arrivals.keySet().forEach(id -> counts.put(id, arrivalsAfter(id, acknowledgedAt)));
      run.record("requests that reached the workers since then: " + counts);
      run.record(
          "lines in the log of the gateway about a stack overflow: "
              + run.logLines("vm-1", "StackOverflowError").size());
      run.record(
          "requests that reached the draining worker later than "
              + DRAIN_MILLIS
              + " ms after the acknowledgement: "
              + late);
      return late > 0;
    }
  }
}
