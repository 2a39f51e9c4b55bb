package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import javax.net.ssl.SSLHandshakeException;
import org.cactusseam.standin.Json;
import org.cactusseam.standin.engine.TokenText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies that a daemon with a certificate serves only over TLS, and that clients reject a server
 * with another certificate.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ServingOverTlsTest {

  private static final int TOKENS = 20;
  private static final int TIMEOUT_SECONDS = 30;
  private static final int EXIT_OK = 0;
  private static final int EXIT_UNREACHABLE = 6;

  private final SystemUnderTest system = new SystemUnderTest();
  private HttpClient client = HttpClient.newHttpClient();
  private HttpClient otherClient = HttpClient.newHttpClient();

  @BeforeAll
  void start() throws Exception {
    TestCertificate certificate = TestCertificate.create(system.folder, "daemon");
    TestCertificate other = TestCertificate.create(system.folder, "other");
    client = client(certificate);
    otherClient = client(other);
    system.startEngine("engine-1");
    system.startEntryDaemon("entry-1", "ost-wien", "ost");
    system.startEntryDaemonWithTls("entry-2", "ost-graz", "ost", certificate);
    system.awaitReady("entry-1");
    system.declareBasics("entry-1");
    system.declareEngine("entry-1", "engine-1", "ost-wien", 4, 16);
    Eventually.await(
        "entry-2 is ready over TLS",
        Duration.ofSeconds(TIMEOUT_SECONDS),
        () -> send(client, request("caller", "/ready").GET()).statusCode() == 200);
  }

  @AfterAll
  void stop() {
    system.close();
  }

  private static HttpClient client(TestCertificate trusted) throws Exception {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .sslContext(trusted.trustedOnly())
        .build();
  }

  private int port(String side) {
    return side.equals("caller") ? system.port("entry-2") : system.operatorPort("entry-2");
  }

  private HttpRequest.Builder request(String side, String path) {
    String key = side.equals("caller") ? SystemUnderTest.KEY : SystemUnderTest.OPERATOR_KEY;
    return HttpRequest.newBuilder(URI.create("https://127.0.0.1:" + port(side) + path))
        .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
        .header("Authorization", "Bearer " + key)
        .header("Content-Type", "application/json");
  }

  private static HttpResponse<String> send(HttpClient client, HttpRequest.Builder request) {
    try {
      return exchange(client, request);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static HttpResponse<String> exchange(HttpClient client, HttpRequest.Builder request)
      throws IOException {
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  private HttpResponse<String> sendCompletion(boolean stream) {
    String body =
        Json.object()
            .put("model", "llm")
            .put("prompt", "secret")
            .put("max_tokens", TOKENS)
            .put("stream", stream)
            .toString();
    return send(
        client,
        request("caller", "/v1/completions").POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  @Test
  void callers_get_complete_responses_over_tls() {
    HttpResponse<String> collected = sendCompletion(false);
    String streamed = sendCompletion(true).body();

    assertThat(collected.sslSession().isPresent(), is(true));
    assertThat(
        Json.parseObject(collected.body()).path("choices").path(0).path("text").asText(),
        is(TokenText.fullOutput("secret", TOKENS)));
    assertThat(streamed, endsWith("data: [DONE]\n\n"));
    assertThat(streamed.lines().filter(line -> line.startsWith("id: ")).count(), is(20L));
  }

  @Test
  void operators_give_orders_over_tls() {
    String body = Json.object().put("command", "create class letters rank 2").toString();

    HttpResponse<String> answer =
        send(
            client,
            request("operator", "/operator/commands")
                .POST(HttpRequest.BodyPublishers.ofString(body)));

    assertThat(answer.body(), containsString("ACCEPTED"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"caller", "operator"})
  void a_plain_connection_gets_no_answer(String side) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port(side))) {
      socket.setSoTimeout((int) Duration.ofSeconds(TIMEOUT_SECONDS).toMillis());
      String request = "GET /ready HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));

      assertThat(readUntilClosed(socket), not(containsString("HTTP")));
    }
    assertThat(sendCompletion(false).statusCode(), is(200));
  }

  /**
   * Reads until the server closes the connection. If it neither answers nor closes, the socket
   * timeout fails the test.
   */
  private static String readUntilClosed(Socket socket) throws IOException {
    try {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    } catch (SocketException e) {
      return "";
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"caller", "operator"})
  void a_client_that_trusts_another_certificate_sends_nothing(String side) {
    assertThrows(
        SSLHandshakeException.class, () -> exchange(otherClient, request(side, "/ready").GET()));
    assertThat(sendCompletion(false).statusCode(), is(200));
  }

  @ParameterizedTest(name = "certificate of {0}: exit code {1}")
  @CsvSource({"daemon, " + EXIT_OK, "other, " + EXIT_UNREACHABLE})
  void the_command_line_trusts_only_the_given_certificate(String trusted, int exitCode)
      throws IOException {
    Path key = system.folder.resolve("operator.key");
    Files.writeString(key, SystemUnderTest.OPERATOR_KEY);
    String url = "https://127.0.0.1:" + system.operatorPort("entry-2");
    String ca = system.folder.resolve(trusted + "-certificate").toString();
    List<String> arguments =
        List.of(
            "query", "--server", url, "--key-file", key.toString(), "--ca-file", ca, "show nodes");

    try (ChildProcess process =
        ChildProcess.start(
            system.folder, "query-" + trusted, "org.cactusseam.cli.Main", arguments)) {
      assertThat(process.output(), process.awaitExit(TIMEOUT_SECONDS), is(exitCode));
    }
  }
}
