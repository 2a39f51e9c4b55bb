import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Streams of the newer of two software versions are taken up at another gateway, after the store
 * has rejected the gateway at which they began.
 */
public final class StreamOriginCase {

  private static final int STREAMS = 16;
  private static final int EVENTS = 8;
  private static final int EVENT_GAP_MILLIS = 350;

  /** More streams than this with events of two versions break the rule. */
  private static final int ALLOWED_MIXED = 2;

  private static final String SERVICE =
      """
      {"name":"llm","health_path":"/healthz","max_connections":232,"protocol":"h1","tls":false,
      "cold_s":1.0,"cold_per_s":38.0,"engine":{"slots":24,"kv_capacity":34192,
      "kv_token_bytes":192512,"link_mbps":28000.0,"moves":true,"backups":true,"stride":4,"most":12,
      "pin_ms":4000.0,"hold_ms":2000.0,"handle_ttl_s":5.0,"model_list":[{"name":"m"}]}}""";

  private static final String ROUTE =
      """
      {"name":"tag","host":"salon.example","path_prefix":"/tag/","route_kind":"streaming",
      "timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"llm","max_attempts":2,
      "public":false,"sticky":true,"resumable":true,"target_gap_ms":450,"allowed_regions":[]}""";

  private StreamOriginCase() {}

  /** A stream as its caller sees it, over all its attempts. */
  private static final class Stream {
    final String name;
    final Set<String> versions = new LinkedHashSet<>();
    int lastEvent;
    boolean isWhole;

    Stream(String name) {
      this.name = name;
    }
  }

  public static void main(String[] arguments) throws Exception {
    int result = Run.NOT_RUN;
    try (Run run = new Run(Path.of(arguments[0]))) {
      result = play(run);
      run.record.add("exit " + result);
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(result);
  }

  private static int play(Run run) throws Exception {
    run.configure(SERVICE, ROUTE);
    List<Worker> workers = new ArrayList<>();
    for (int i = 1; i <= 2; i++) {
      workers.add(worker(run, "old-" + i, "v1"));
    }
    Run.sleep(1_000);
    for (int i = 1; i <= 2; i++) {
      workers.add(worker(run, "new-" + i, "v2"));
    }
    Run.Gateway first = run.startGateway("edge-1");
    Run.Gateway second = run.startGateway("edge-2");
    run.startGateway("edge-3");
    run.startGateway("edge-4");
    run.awaitReady();
    // The gateways find each other, and one of them writes the versions of the service.
    Run.sleep(8_000);

    if (run.isDisturbed) {
      run.record.add("the store rejects edge-1 with 503");
      run.store.setMode(first.storePort, Store.Mode.BUSY);
      Run.sleep(1_500);
    }
    List<Stream> streams = new ArrayList<>();
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Stream stream = new Stream("s" + i);
      streams.add(stream);
      callers.add(Thread.startVirtualThread(() -> call(run, stream, first, second)));
      Run.sleep(20);
    }
    Run.sleep(1_500);
    if (run.isDisturbed) {
      run.kill(first);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    for (Worker worker : workers) {
      worker.close();
    }

    long mixed = 0;
    for (Stream stream : streams) {
      boolean isMixed = stream.versions.size() > 1;
      mixed += isMixed ? 1 : 0;
      run.record.add(
          "stream "
              + stream.name
              + ": events up to "
              + stream.lastEvent
              + (stream.isWhole ? ", whole" : ", not whole")
              + ", of versions "
              + stream.versions
              + (isMixed ? " MIXED" : ""));
    }
    String summary = mixed + " of " + STREAMS + " streams hold events of two versions";
    run.record.add(summary);
    System.out.println(summary);
    long begun = streams.stream().filter(stream -> !stream.versions.isEmpty()).count();
    if (begun < STREAMS / 2) {
      return Run.NOT_RUN;
    }
    return mixed > ALLOWED_MIXED ? Run.BROKEN : Run.HELD;
  }

  /** Each event names the version of its worker. A stream resumes after {@code Last-Event-Id}. */
  private static Worker worker(Run run, String id, String version) throws IOException {
    return new Worker(
        run.store,
        run.record,
        id,
        "llm",
        version,
        24,
        (worker, request, socket, output) -> {
          String last = request.header("Last-Event-Id");
          int from = last == null ? 1 : Integer.parseInt(last) + 1;
          run.record.add(
              "worker " + id + " (" + version + ") runs " + request.header("Attempt-Id")
                  + " from event " + from);
          Worker.write(
              output,
              worker.head(request, 200)
                  + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
          for (int event = from; event <= EVENTS; event++) {
            Run.sleep(EVENT_GAP_MILLIS);
            Worker.chunk(output, "id: " + event + "\ndata: " + version + "\n\n");
          }
          Worker.write(output, "0\r\n\r\n");
        });
  }

  /** Calls the first gateway, and takes the stream up once at the second one if it breaks off. */
  private static void call(Run run, Stream stream, Run.Gateway first, Run.Gateway second) {
    String attempt = stream.name + "-first";
    attempt(run, stream, first, attempt, "");
    if (!stream.isWhole && stream.lastEvent > 0) {
      attempt(
          run,
          stream,
          second,
          stream.name + "-second",
          "Last-Event-Id: " + stream.lastEvent + "\r\nResumes: " + attempt + "\r\n");
    }
  }

  private static void attempt(
      Run run, Stream stream, Run.Gateway gateway, String attempt, String more) {
    run.record.add("caller sends " + attempt + " to " + gateway.name + " " + more.strip());
    try (Socket socket = Run.connect(gateway.port)) {
      socket.setSoTimeout(6_500);
      Run.send(
          socket,
          Run.request(
              "POST",
              "/tag/x",
              attempt,
              "Model: m\r\nToken-Usage: 200,32\r\nPrompt-Prefix: 5c1e07a2:80,e4402b7d:120\r\n"
                  + "Deadline-Ms: 6000\r\n"
                  + more,
              0));
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      Message head = Message.read(input);
      run.record.add(
          "caller gets for " + attempt + ": " + (head == null ? "no answer" : head.start()));
      if (head != null && head.status() == 200) {
        readEvents(stream, input);
      }
    } catch (IOException e) {
      run.record.add("caller gets for " + attempt + ": " + e.getMessage());
    }
  }

  private static void readEvents(Stream stream, BufferedInputStream input) throws IOException {
    for (String line = Message.line(input); line != null; line = Message.line(input)) {
      if (line.startsWith("id: ")) {
        stream.lastEvent = Integer.parseInt(line.substring(4));
      } else if (line.startsWith("data: ")) {
        stream.versions.add(line.substring(6));
      } else if (line.equals("0")) {
        stream.isWhole = true;
        return;
      }
    }
  }
}
