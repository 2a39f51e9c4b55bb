package org.cactusseam.edge.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against lost tokens, repeated tokens and tokens of other streams when connections to an
 * engine break.
 */
class GenerationRelayTest {

  private static final String CHUNK = "{\"choices\":[{\"text\":\"%s\",\"finish_reason\":null}]}";
  private static final String FINISH =
      "{\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
          + "\"usage\":{\"completion_tokens\":4}}";

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /**
   * The engine answers each connection with the next script. In a script, a number is the event of
   * that token, {@code F} the chunk with the finish reason, {@code D} the end event, {@code X} a
   * closed connection and {@code E} the end of the response. {@code 404} and {@code 503} are HTTP
   * statuses. {@code other} sets the incarnation of another run, {@code foreign} the id of another
   * stream.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "one connection,               0 1 2 3 F D,                       0a 1b 2c 3d, whole",
    "cut after a token,            0 1 X | 2 3 F D,                   0a 1b 2c 3d, whole",
    "resume repeats tokens,        0 1 X | 0 1 2 3 F D,               0a 1b 2c 3d, whole",
    "lost token,                   0 2 3 F D | 1 2 3 F D,             0a 1b 2c 3d, whole",
    "lost last token,              0 1 2 F D | 3 F D,                 0a 1b 2c 3d, whole",
    "end without the end event,    0 1 2 3 F E | F D,                 0a 1b 2c 3d, whole",
    "end event without a finish,   0 1 2 3 D | F D,                   0a 1b 2c 3d, whole",
    "engine unavailable for once,  0 1 X | 503 | 2 3 F D,             0a 1b 2c 3d, whole",
    "head of another stream,       0 X | foreign 1 9 D | 1 2 3 F D,   0a 1b 2c 3d, whole",
    "stream gone,                  0 1 X | 404,                       0a 1b,       STREAM_LOST",
    "engine restarted,             0 1 X | other 2 3 F D,             0a 1b,       STREAM_LOST",
    "two cuts in a row,            0 X | X | 1 X | 2 3 F D,           0a 1b 2c 3d, whole"
  })
  void each_token_arrives_once_and_in_order(String name, String scripts, String tokens, String end)
      throws Exception {
    HttpServer engine = startEngine(List.of(scripts.split("\\|")));
    RecordingSink sink = new RecordingSink();
    BackendServer server = TestEngines.at(engine.actualPort());
    HttpClient client = vertx.createHttpClient();
    GenerationId generation =
        new GenerationId(server.name(), "run-1", "stream-1", new AccountName("salon"));
    GenerationRelay relay =
        new GenerationRelay(vertx, Clock.systemUTC(), client, server, generation, 0, sink);

    vertx.runOnContext(ignored -> relay.resume());

    assertThat(sink.end.get(30, TimeUnit.SECONDS), is(end));
    assertThat(String.join(" ", sink.tokens), is(tokens));
  }

  private HttpServer startEngine(List<String> scripts) {
    AtomicInteger next = new AtomicInteger();
    return vertx
        .createHttpServer()
        .requestHandler(
            request ->
                runScript(
                    request, scripts.get(Math.min(next.getAndIncrement(), scripts.size() - 1))))
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .join();
  }

  private static void runScript(HttpServerRequest request, String script) {
    HttpServerResponse response = request.response().setChunked(true);
    response.putHeader(Headers.INCARNATION, script.contains("other") ? "run-2" : "run-1");
    response.putHeader(Headers.STREAM, script.contains("foreign") ? "stream-2" : "stream-1");
    for (String step : script.trim().split(" ")) {
      switch (step) {
        case "404", "503" -> response.setStatusCode(Integer.parseInt(step)).end();
        case "other", "foreign" -> {}
        case "F" -> response.write("data: " + FINISH + "\n\n");
        case "D" -> response.end("data: [DONE]\n\n");
        case "E" -> response.end();
        case "X" -> response.write("").onComplete(written -> request.connection().close());
        default -> {
          int index = Integer.parseInt(step);
          String text = String.valueOf((char) ('a' + index));
          response.write("id: " + index + "\ndata: " + CHUNK.formatted(text) + "\n\n");
        }
      }
    }
  }
}
