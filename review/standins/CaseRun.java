import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, the store and the gateways. Exits with 1 if
 * the rule was broken, with 0 if it held, and with 2 if the case could not run.
 */
final class CaseRun {

  /** Time limit of a case, below the 120 s that it may take. */
  private static final long LIMIT_MILLIS = 110_000;

  private final Path repository = Path.of("").toAbsolutePath();
  private final boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
  private final Recorder recorder;
  private final Path folder;
  private final Store store;
  private final List<GatewayProgram> gateways = new ArrayList<>();

  /** The course of a case. */
  interface Course {
    /** Returns whether the rule was broken. */
    boolean isBroken(CaseRun run) throws Exception;
  }

  private CaseRun(Path caseFolder) throws IOException {
    recorder = new Recorder(caseFolder.resolve("record.txt"));
    folder = Files.createTempDirectory("case");
    store = new Store();
    store.put("keyed.op", "config", Manifest.text(1));
  }

  static void run(String[] arguments, Course course) {
    int status = 2;
    CaseRun run = null;
    try {
      run = new CaseRun(Path.of(arguments[0]));
      run.startTimeLimit();
      run.record(run.withTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
      status = course.isBroken(run) ? 1 : 0;
      run.record(status == 1 ? "RESULT: the rule was broken" : "RESULT: the rule held");
    } catch (Exception e) {
      e.printStackTrace();
      if (run != null) {
        run.record("RESULT: the case could not run: " + e);
      }
    } finally {
      if (run != null) {
        run.close();
      }
    }
    System.exit(status);
  }

  private void startTimeLimit() {
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              try {
                Thread.sleep(LIMIT_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              record("RESULT: the case could not run: time limit");
              close();
              Runtime.getRuntime().halt(2);
            });
  }

  boolean withTrouble() {
    return withTrouble;
  }

  Store store() {
    return store;
  }

  void record(String text) {
    recorder.line(text);
    System.out.println(text);
  }

  /** Starts a gateway and waits until it is ready and has read the workers. */
  GatewayProgram startGateway(String node) throws IOException, InterruptedException {
    GatewayProgram gateway = new GatewayProgram(repository, folder, node, store);
    gateways.add(gateway);
    gateway.start();
    Thread.sleep(2_000);
    record("gateway " + node + " is ready");
    return gateway;
  }

  /** Returns the lines of a gateway's log that contain a text. */
  List<String> logLines(String node, String text) throws IOException {
    try (Stream<String> lines = Files.lines(folder.resolve(node + ".log"))) {
      return lines.filter(line -> line.contains(text)).toList();
    }
  }

  private synchronized void close() {
    gateways.forEach(GatewayProgram::close);
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      record("the temporary folder remains: " + e);
    }
  }
}
