import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Clients send requests whose bodies contain the text of another request, with a transfer coding
 * that is not {@code chunked} and without a length: the end of such a body is not defined.
 */
public final class UnknownCodingCase {

  private static final int REQUESTS = 10;

  private static final String SERVICE =
      """
      {"name":"app","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,
      "cold_s":0.0,"cold_per_s":0.0}""";

  private static final String ROUTE =
      """
      {"name":"confirm","host":"salon.example","path_prefix":"/confirm/",
      "route_kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,
      "service":"app","max_attempts":1,"public":false,"sticky":false,"resumable":false,
      "target_gap_ms":0,"allowed_regions":[]}""";

  private UnknownCodingCase() {}

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
    Map<String, String> ran = new ConcurrentHashMap<>();
    Worker worker =
        new Worker(
            run.store,
            run.record,
            "app-1",
            "app",
            "v1",
            6,
            (self, request, socket, output) -> {
              ran.put(request.header("Attempt-Id"), request.start());
              run.record.add(
                  "worker runs " + request.header("Attempt-Id") + ": " + request.start()
                      + ", body of " + request.length() + " bytes");
              Worker.write(output, self.head(request, 200), "confirmed");
            });
    Run.Gateway gateway = run.startGateway("edge-1");
    run.awaitReady();
    Run.sleep(1_000);
    call(run, gateway, "plain", Run.request("POST", "/confirm/x", "plain", "", 0));
    for (int i = 0; i < REQUESTS; i++) {
      call(run, gateway, "outer-" + i, nested(run, i));
    }
    worker.close();

    long smuggled = ran.keySet().stream().filter(id -> id.startsWith("inner-")).count();
    String summary = smuggled + " of " + REQUESTS + " requests inside a body were run";
    run.record.add(summary);
    System.out.println(summary);
    if (!ran.containsKey("plain")) {
      return Run.NOT_RUN;
    }
    return smuggled > 0 ? Run.BROKEN : Run.HELD;
  }

  /** Returns one request; its body is the text of another one. */
  private static String nested(Run run, int number) {
    String inner = Run.request("POST", "/confirm/other", "inner-" + number, "", 0);
    String body =
        run.isDisturbed
            ? inner
            : Integer.toHexString(inner.length()) + "\r\n" + inner + "\r\n0\r\n\r\n";
    return "POST /confirm/x HTTP/1.1\r\nHost: salon.example\r\nAttempt-Id: outer-"
        + number
        + "\r\nAuthorization: Bearer key-1\r\nTransfer-Encoding: "
        + (run.isDisturbed ? "gzip" : "chunked")
        + "\r\n\r\n"
        + body;
  }

  private static void call(Run run, Run.Gateway gateway, String name, String text)
      throws IOException {
    run.record.add("client sends " + name + ": " + text.replace("\r\n", " | "));
    try (Socket socket = Run.connect(gateway.port)) {
      socket.setSoTimeout(1_000);
      Run.send(socket, text);
      byte[] answer = new byte[4_096];
      int length = 0;
      try {
        for (int read = socket.getInputStream().read(answer);
            read > 0;
            read = socket.getInputStream().read(answer, length, answer.length - length)) {
          length += read;
        }
      } catch (java.net.SocketTimeoutException e) {
        run.record.add("client keeps the connection of " + name + " no longer");
      }
      String received = new String(answer, 0, length, StandardCharsets.ISO_8859_1);
      run.record.add("client gets for " + name + ": " + received.replace("\r\n", " | "));
    }
  }
}
