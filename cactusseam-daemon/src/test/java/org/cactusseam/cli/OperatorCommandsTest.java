package org.cactusseam.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.query.Command;
import org.cactusseam.logic.query.CommandParser;
import org.cactusseam.logic.query.OrderTranslation;
import org.cactusseam.logic.query.OrderTranslator;
import org.cactusseam.logic.query.QueryResults;
import org.cactusseam.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against commands whose results are reported incorrectly. The server applies the commands
 * to a real control state, so that applying a file again encounters the revisions of the first run.
 */
@Timeout(60)
class OperatorCommandsTest {

  private static final String DECLARATIONS =
      """
      # classes of zopfwerk
      create class gold rank 0

      create class bulk rank 9 may-wait
      create domain wien region ost
      create route r path "/x" pool app kind plain repeatable no deadline 5s
      """;

  @TempDir Path directory;
  private CommandLineFixture fixture;
  private final ControlState state = new ControlState();
  private final List<JsonObject> received = Collections.synchronizedList(new ArrayList<>());

  @BeforeEach
  void start() throws IOException {
    fixture = new CommandLineFixture(directory);
    fixture.listen(this::answer);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private synchronized void answer(HttpServerRequest request, String body) {
    JsonObject command = new JsonObject(body);
    received.add(command);
    String expected = "Bearer " + CommandLineFixture.KEY;
    boolean known = expected.equals(request.getHeader("Authorization"));
    String json =
        known && request.path().equals("/operator/commands")
            ? answer(command).toJson()
            : "{\"error\":{\"code\":2002,\"name\":\"UNAUTHENTICATED\",\"message\":\"no key\"}}";
    request.response().end(json);
  }

  private OperatorAnswer answer(JsonObject body) {
    return switch (CommandParser.parse(body.getString("command")).get()) {
      case Command.ConfigurationOrder order -> apply(order, body.getString("command_id"));
      case Command.ServerOrder order ->
          OperatorAnswer.of(ResultCode.RECORDED_WAITING, "waiting for n1");
      case Command.Query query ->
          OperatorAnswer.of(
              new QueryResults(state.configuration()).classes(),
              OperatorAnswer.Format.valueOf(body.getString("format").toUpperCase()));
    };
  }

  private OperatorAnswer apply(Command.ConfigurationOrder order, String id) {
    OrderTranslation translation =
        new OrderTranslator(state.configuration()).translate(order, id, "anna");
    return switch (translation) {
      case OrderTranslation.Changes changes -> {
        state.apply(state.nextOffset(), changes.change());
        yield OperatorAnswer.of(ResultCode.ACCEPTED, "in force");
      }
      case OrderTranslation.Unchanged unchanged ->
          OperatorAnswer.of(ResultCode.UNCHANGED, unchanged.message());
      case OrderTranslation.Refused refused -> OperatorAnswer.of(refused.code(), refused.message());
    };
  }

  private ExitCode order(String... arguments) {
    return run(new OrderCommand(), "order", arguments);
  }

  private ExitCode run(Subcommand subcommand, String name, String... arguments) {
    List<String> all =
        new ArrayList<>(List.of(name, "--server", fixture.url(), "--key-file", fixture.keyFile()));
    all.addAll(List.of(arguments));
    return fixture.run(subcommand, all.toArray(String[]::new));
  }

  private Path declarations(String text) throws IOException {
    return Files.writeString(directory.resolve("declarations"), text);
  }

  @Test
  void applying_a_file_again_changes_nothing_and_says_so() throws IOException {
    String file = declarations(DECLARATIONS).toString();

    assertThat(order("--file", file), is(ExitCode.OK));
    assertThat(fixture.err(), containsString("4 in force, 0 unchanged, 0 waiting, 0 failed"));
    long offset = state.nextOffset();

    assertThat(order("--file", file), is(ExitCode.OK));
    assertThat(fixture.err(), containsString("nothing changed: all 4 commands were already"));
    assertThat(state.nextOffset(), is(offset));
  }

  @Test
  void a_fault_in_any_line_of_a_file_stops_the_whole_file() throws IOException {
    String file = declarations(DECLARATIONS + "create class\nshow servers\n").toString();

    assertThat(order("--file", file), is(ExitCode.WRONG_USAGE));
    assertThat(
        fixture.err(),
        containsString("declarations:7:13: expected the name of a class, found the"));
    assertThat(fixture.err(), containsString("declarations:8:1: the command changes nothing"));
    assertThat(received, hasSize(0));
  }

  @Test
  void a_refused_line_stops_the_rest_of_a_file() throws IOException {
    String file =
        declarations("create class a rank 1\ncreate class a rank 2\ncreate class b rank 1\n")
            .toString();

    assertThat(order("--file", file), is(ExitCode.REFUSED));
    assertThat(
        fixture.err(), containsString("1 in force, 0 unchanged, 0 waiting, 1 failed, 1 not"));
    assertThat(received, hasSize(2));
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = ';',
      textBlock =
          """
          create class gold rank 0; OK; 5000 ACCEPTED: in force (command
          if revision 3 remove class x; REFUSED; 5003 REVISION_CONFLICT: class x does not exist
          remove class x; REFUSED; 5005 INVALID_COMMAND: class x does not exist
          load model "m" on server w1; WAITING; 5001 RECORDED_WAITING: waiting for n1
          """)
  void the_exit_code_follows_the_result(String command, ExitCode expected, String output) {
    assertThat(order(command), is(expected));
    assertThat(fixture.out(), containsString(output));
  }

  @Test
  void the_identity_of_a_command_is_printed_and_sent() {
    order("create class gold rank 0");

    String id = received.getFirst().getString("command_id");
    assertThat(fixture.err(), containsString("command " + id + ": create class gold rank 0"));
  }

  @Test
  void a_command_that_is_sent_again_keeps_its_identity() {
    order("--command-id", "c-1", "create class gold rank 0");

    assertThat(received.getFirst().getString("command_id"), is("c-1"));
  }

  @Test
  void an_unanswered_order_says_how_to_query_its_result() throws IOException {
    try (CommandLineFixture silent = new CommandLineFixture(directory)) {
      silent.listen((request, body) -> {});
      ExitCode code =
          silent.run(
              new OrderCommand(),
              "order",
              "--server",
              silent.url(),
              "--key-file",
              silent.keyFile(),
              "--timeout",
              "200ms",
              "--command-id",
              "c-1",
              "remove class a");

      assertThat(code, is(ExitCode.UNREACHABLE));
      assertThat(silent.err(), containsString("query it with: cactusseam query show command c-1"));
    }
  }

  @Test
  void a_wrong_key_is_refused_and_not_printed() throws IOException {
    Files.writeString(Path.of(fixture.keyFile()), "wrong-key");

    assertThat(order("remove class a"), is(ExitCode.REFUSED));
    assertThat(fixture.out(), containsString("2002 UNAUTHENTICATED: no key"));
    assertThat(fixture.out() + fixture.err(), not(containsString("wrong-key")));
  }

  @Test
  void a_query_prints_a_table_or_json() {
    order("create class gold rank 0");

    assertThat(run(new QueryCommand(), "query", "show", "classes"), is(ExitCode.OK));
    assertThat(
        fixture.out(), is("class  rank  may-wait  revision\ngold      0  no               0\n"));

    assertThat(run(new QueryCommand(), "query", "--json", "show classes"), is(ExitCode.OK));
    assertThat(
        fixture.out().strip(),
        is(
            "{\"code\":1000,\"name\":\"OK\",\"message\":\"1 row\",\"rows\":[{\"class\":\"gold\","
                + "\"rank\":0,\"may-wait\":\"no\",\"revision\":0}]}"));
  }

  @Test
  void an_unreachable_server_is_skipped() {
    ExitCode code =
        fixture.run(
            new QueryCommand(),
            "query",
            "--server",
            "http://127.0.0.1:1," + fixture.url(),
            "--key-file",
            fixture.keyFile(),
            "show classes");

    assertThat(code, is(ExitCode.OK));
  }

  @ParameterizedTest
  @CsvSource({"ec-certificate.pem, OK", "rsa-certificate.pem, UNREACHABLE", ", UNREACHABLE"})
  void a_server_with_an_untrusted_certificate_gets_no_key(String trusted, ExitCode expected)
      throws IOException {
    try (CommandLineFixture secure = new CommandLineFixture(directory)) {
      secure.listenWithTls(this::answer);
      List<String> arguments =
          new ArrayList<>(
              List.of("query", "--server", secure.url(), "--key-file", secure.keyFile()));
      if (trusted != null) {
        arguments.addAll(List.of("--ca-file", "src/test/resources/tls/" + trusted));
      }
      arguments.add("show classes");

      ExitCode code = secure.run(new QueryCommand(), arguments.toArray(String[]::new));

      assertThat(secure.err(), code, is(expected));
      assertThat(received, hasSize(expected == ExitCode.OK ? 1 : 0));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "1000, OK",
    "5000, OK",
    "5007, OK",
    "5001, WAITING",
    "5002, WAITING",
    "5006, WAITING",
    "5003, REFUSED",
    "5004, REFUSED",
    "3006, REFUSED",
    "9001, INTERNAL",
    "7777, REFUSED"
  })
  void each_result_code_has_an_exit_code(int resultCode, ExitCode expected) {
    assertThat(ExitCode.ofResult(resultCode), is(expected));
  }
}
