package org.cactusseam.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against reporting a damaged response as complete, and against running a request twice. */
@Timeout(60)
class CallCommandTest {

  private static final int TOKENS = 4;

  @TempDir Path directory;
  private CommandLineFixture fixture;
  private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
  private String script = "";

  @BeforeEach
  void start() throws IOException {
    fixture = new CommandLineFixture(directory);
    fixture.listen(this::answer);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  /** Paths below /a follow the script; paths below /b deliver the rest of the response. */
  private void answer(HttpServerRequest request, String body) {
    String from = request.getHeader("Last-Event-ID");
    requests.add(request.method() + " " + request.path() + (from == null ? "" : " " + from));
    request.response().setChunked(true);
    if (request.path().startsWith("/b")) {
      int first =
          from == null ? 0 : Integer.parseInt(from.substring(from.lastIndexOf(':') + 1)) + 1;
      for (int index = first; index < TOKENS; index++) {
        write(request, Integer.toString(index));
      }
      write(request, "done");
      request.response().end();
      return;
    }
    if (script.startsWith("refuse")) {
      request
          .response()
          .setStatusCode(429)
          .end("{\"error\":{\"code\":3001,\"name\":\"OVERLOADED\",\"message\":\"full\"}}");
      return;
    }
    List<String> steps = List.of(script.split(" "));
    steps.forEach(step -> write(request, step));
    if (steps.contains("break")) {
      // Lets the written events arrive before the connection is closed.
      request.response().write("\n").onComplete(written -> request.connection().close());
    } else if (!steps.contains("hang")) {
      request.response().end();
    }
  }

  private static void write(HttpServerRequest request, String step) {
    String text =
        switch (step) {
          case "break", "hang" -> ": keep-alive\n";
          case "done" -> "data: [DONE]\n\n";
          case "elsewhere" ->
              "event: error\ndata: {\"error\":{\"code\":1001,\"message\":\"\"}}\n\n";
          case "failed" ->
              "event: error\ndata: {\"error\":{\"code\":4002,\"message\":\"lost\"}}\n\n";
          case "other" -> "id: other:1\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\n";
          case "garbage" -> "id: g~1:1\ndata: {\n\n";
          default -> event(step);
        };
    request.response().write(text);
  }

  private static String event(String step) {
    boolean last = step.endsWith("!") || Integer.parseInt(step) == TOKENS - 1;
    String index = step.replace("!", "");
    JsonObject data = new JsonObject("{\"choices\":[{\"text\":\"t" + index + " \"}]}");
    if (last) {
      data.getJsonArray("choices").getJsonObject(0).put("finish_reason", "stop");
      data.put("usage", new JsonObject().put("completion_tokens", TOKENS));
    }
    return "id: g~1:" + index + "\r\ndata: " + data.encode() + "\r\n\r\n";
  }

  private ExitCode call(String servers, String... arguments) {
    List<String> all =
        new ArrayList<>(List.of("call", "--server", servers, "--key-file", fixture.keyFile()));
    all.addAll(List.of("--model", "m", "--prompt", "p"));
    all.addAll(List.of(arguments));
    return fixture.run(new CallCommand(), all.toArray(String[]::new));
  }

  private String both() {
    return fixture.url() + "/a," + fixture.url() + "/b";
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = ';',
      textBlock =
          """
          0 1 2 3 done; OK; ending: complete
          0 1 break; OK; tokens: 4, resumes: 1
          0 1; OK; tokens: 4, resumes: 1
          0 1 elsewhere; OK; tokens: 4, resumes: 1
          0 1 2 3 break; OK; tokens: 4, resumes: 1
          0 2 3 done; INCOMPLETE; token index 2 received where 1 was expected
          0 1 1 2 3 done; INCOMPLETE; token index 1 received where 2 was expected
          1 2 3 done; INCOMPLETE; token index 1 received where 0 was expected
          0 other; INCOMPLETE; event of another generation
          0 garbage; INCOMPLETE; event data is not JSON
          0 1 2 done; INCOMPLETE; stream ended without finish reason and token count
          0 1 2! done; INCOMPLETE; 3 tokens received, but 4 reported
          0 1 failed; INCOMPLETE; incomplete 4002 (lost)
          break; INCOMPLETE; the request may have run
          refuse; REFUSED; refused 3001 (OVERLOADED: full)
          """)
  void only_a_whole_answer_in_order_is_complete(String steps, ExitCode expected, String summary) {
    script = steps;

    ExitCode code = call(both());

    assertThat(fixture.err(), containsString(summary));
    assertThat(code, is(expected));
    if (expected == ExitCode.OK) {
      assertThat(fixture.out(), is("t0 t1 t2 t3 \n"));
      assertThat(fixture.err(), containsString("generation: g~1"));
    }
  }

  @Test
  void a_resume_asks_for_what_follows_the_last_token() {
    script = "0 1 break";

    call(both());

    assertThat(requests, is(List.of("POST /a/v1/completions", "GET /b/v1/generations/g~1 g~1:1")));
  }

  @Test
  void a_request_that_may_have_run_is_not_sent_again() {
    script = "break";

    call(both());

    assertThat(requests, is(List.of("POST /a/v1/completions")));
  }

  @Test
  void an_unreachable_server_is_skipped() {
    ExitCode code = call("http://127.0.0.1:1," + fixture.url() + "/b", "--chat");

    assertThat(code, is(ExitCode.OK));
    assertThat(requests, is(List.of("POST /b/v1/chat/completions")));
  }

  @Test
  void the_number_of_resumes_is_bounded() {
    script = "0 1 break";

    assertThat(call(fixture.url() + "/a", "--resumes", "1"), is(ExitCode.INCOMPLETE));
    assertThat(requests.size(), is(2));
  }

  @Test
  void a_connection_without_data_counts_as_broken_after_the_timeout() {
    script = "0 1 hang";

    assertThat(call(both(), "--timeout", "300ms"), is(ExitCode.OK));
    assertThat(fixture.err(), containsString("tokens: 4, resumes: 1"));
  }

  @Test
  void many_calls_print_their_totals() {
    script = "0 1 2 3 done";

    ExitCode code = call(both(), "--count", "40", "--concurrency", "8");

    JsonObject totals = new JsonObject(fixture.out());
    assertThat(code, is(ExitCode.OK));
    assertThat(totals.getInteger("requests"), is(40));
    assertThat(totals.getInteger("complete"), is(40));
    assertThat(totals.getInteger("tokens"), is(160));
  }

  @Test
  void refusals_are_counted_by_code() {
    script = "refuse";

    ExitCode code = call(fixture.url() + "/a", "--count", "3");

    JsonObject totals = new JsonObject(fixture.out());
    assertThat(code, is(ExitCode.REFUSED));
    assertThat(totals.getInteger("refused"), is(3));
    assertThat(totals.getJsonObject("codes").getInteger("3001"), is(3));
  }
}
