package org.cactusseam.edge.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a caller receiving bytes of another caller's response, when a backend server
 * responds late, twice or with more bytes than it announced. The server writes raw bytes to its
 * sockets.
 */
@Timeout(60)
class LateBytesTest {

  private static final int REQUESTS = 4;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nCactusseam-Incarnation: run-1\r\n";

  /** Way in which the server deviates from one complete response for each request. */
  enum Fault {
    /** The response is sent twice at once. */
    TWICE_AT_ONCE,
    /** The response is sent again when the next request arrives on the connection. */
    AGAIN_BEFORE_THE_NEXT_ANSWER,
    /** The second half of the response is sent again when the next request arrives. */
    PART_BEFORE_THE_NEXT_ANSWER,
    /** Bytes that belong to no response follow it. */
    SURPLUS_BYTES,
    /** The response is withheld until the next request arrives on the connection. */
    LATE
  }

  private final Vertx vertx = Vertx.vertx();
  private final List<Socket> openSockets = new ArrayList<>();
  private ServerSocket server;
  private volatile Fault fault = Fault.LATE;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    vertx.close().toCompletionStage().toCompletableFuture().join();
    server.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        openSockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        // The test has ended.
      }
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedReader requests =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String previousResponse = "";
      for (String line = requests.readLine(); line != null; line = requests.readLine()) {
        String path = line.split(" ")[1];
        while (!requests.readLine().isEmpty()) {
          // Skips the headers; no request has a body.
        }
        String response = path.startsWith("/streams/") ? streamResponse(path) : plainResponse(path);
        write(socket.getOutputStream(), previousResponse, response);
        previousResponse = response;
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private void write(OutputStream output, String previousResponse, String response)
      throws IOException {
    String bytes =
        switch (fault) {
          case TWICE_AT_ONCE -> response + response;
          case AGAIN_BEFORE_THE_NEXT_ANSWER -> previousResponse + response;
          case PART_BEFORE_THE_NEXT_ANSWER ->
              previousResponse.substring(previousResponse.length() / 2) + response;
          case SURPLUS_BYTES -> response + "surplus of the answer\r\n\r\n";
          case LATE -> previousResponse;
        };
    output.write(bytes.getBytes(StandardCharsets.US_ASCII));
    output.flush();
  }

  private static String plainResponse(String path) {
    String body = "answer to " + path;
    return HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns a stream of two tokens, whose text is the id of the stream. */
  private static String streamResponse(String path) {
    String id = path.substring("/streams/".length(), path.indexOf('?'));
    String token = "id: %d\ndata: {\"choices\":[{\"text\":\"%s\",\"finish_reason\":null}]}\n\n";
    String body =
        token.formatted(0, id)
            + token.formatted(1, id)
            + "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
            + "\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    return HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** A missing response is allowed, bytes of another response are not. */
  @ParameterizedTest
  @EnumSource
  void a_plain_response_contains_no_byte_of_another(Fault testedFault) throws Exception {
    fault = testedFault;
    HttpClient client = BackendConnections.createClient(vertx);
    List<String> expected = new ArrayList<>();
    List<String> responses = new ArrayList<>();
    for (int number = 0; number < REQUESTS; number++) {
      String path = "/letters/" + number;
      expected.add(testedFault == Fault.LATE ? "none" : "answer to " + path);
      responses.add(requestPlain(client, path));
    }

    assertThat(responses, is(expected));
  }

  private String requestPlain(HttpClient client, String path) throws Exception {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost("127.0.0.1")
            .setPort(server.getLocalPort())
            .setIdleTimeout(200)
            .setURI(path);
    return client
        .request(options)
        .compose(request -> request.send())
        .compose(HttpClientResponse::body)
        .map(body -> body.toString())
        .otherwise("none")
        .toCompletionStage()
        .toCompletableFuture()
        .get(30, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "LATE")
  void a_stream_contains_no_token_of_another(Fault testedFault) throws Exception {
    fault = testedFault;
    HttpClient client = BackendConnections.createClient(vertx);
    BackendServer engine = TestEngines.at(server.getLocalPort());
    for (int number = 0; number < REQUESTS; number++) {
      RecordingSink sink = new RecordingSink();
      String stream = "stream-" + number;
      GenerationId generation =
          new GenerationId(engine.name(), "run-1", stream, new AccountName("salon"));
      GenerationRelay relay =
          new GenerationRelay(vertx, Clock.systemUTC(), client, engine, generation, 0, sink);

      vertx.runOnContext(ignored -> relay.resume());

      assertThat(sink.end.get(30, TimeUnit.SECONDS), is("whole"));
      assertThat(sink.tokens, is(List.of("0" + stream, "1" + stream)));
    }
  }
}
