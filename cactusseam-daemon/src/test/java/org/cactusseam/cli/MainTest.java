package org.cactusseam.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import ch.qos.logback.core.joran.spi.JoranException;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.query.ResultTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;

/**
 * Guards against subcommands without a help text, and against changes of the exit codes that
 * scripts rely on.
 */
@Timeout(60)
class MainTest {

  @TempDir Path directory;
  private CommandLineFixture fixture;
  private final List<Settings> served = new ArrayList<>();
  private final List<ReplayCommand.Request> replayed = new ArrayList<>();
  private final Main main =
      new Main(
          List.of(
              new ServeCommand(this::serve),
              new CheckSettingsCommand(),
              new QueryCommand(),
              new OrderCommand(),
              new CallCommand(),
              new ReplayCommand(this::replay),
              new VersionCommand()));

  private void serve(Settings settings) throws IOException {
    served.add(settings);
    if (settings.deployment().equals("broken")) {
      throw new IOException("address in use");
    }
  }

  private Either<List<String>, ResultTable> replay(ReplayCommand.Request request) {
    replayed.add(request);
    return request.policies().contains("unknown")
        ? Either.left(List.of("unknown policy"))
        : Either.right(
            new ResultTable(List.of("policy", "stalls"), List.of(ResultTable.row("a", 1))));
  }

  @BeforeEach
  void write_settings() throws IOException {
    fixture = new CommandLineFixture(directory);
    Files.writeString(directory.resolve("cluster.key"), "k".repeat(32));
    Files.writeString(directory.resolve("operators"), "resi " + "0".repeat(64));
    Files.writeString(directory.resolve("trace"), "one\ntwo\n");
    for (String deployment : List.of("zopfwerk", "broken", "No")) {
      Files.writeString(
          directory.resolve(deployment + ".yaml"),
          """
          deployment: %s
          node: wien-1
          failure-domain: ost-wien
          region: ost
          addresses:
            caller: {host: 127.0.0.1, port: 8080}
            operator: {host: 127.0.0.1, port: 8081}
            peer: {host: 127.0.0.1, port: 8082}
          keys: {cluster-key-file: cluster.key, operator-keys-file: operators}
          platform: {log-url: "http://127.0.0.1:9000", vm-list-url: "http://127.0.0.1:9001"}
          logging: {level: error}
          """
              .formatted(deployment));
    }
  }

  @AfterEach
  void close() throws JoranException {
    fixture.close();
    // "serve" changes the loggers of the whole process.
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    new ContextInitializer(context).autoConfig();
  }

  private ExitCode run(String line) {
    return fixture.run(main, line.replace("DIR", directory.toString()).split(" "));
  }

  @ParameterizedTest
  @ValueSource(strings = {"serve", "check-settings", "query", "order", "call", "replay", "version"})
  void every_subcommand_has_a_help_text(String name) {
    assertThat(run(name + " --help"), is(ExitCode.OK));
    assertThat(fixture.out(), startsWith("cactusseam " + name + ": "));
    assertThat(fixture.out(), containsString("--help"));
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = ';',
      textBlock =
          """
          --help; OK
          help; OK
          version; OK
          unknown; WRONG_USAGE
          serve; WRONG_USAGE
          serve --settings; WRONG_USAGE
          serve --unknown 1; WRONG_USAGE
          serve --settings DIR/zopfwerk.yaml; OK
          serve --settings DIR/broken.yaml; INTERNAL
          serve --settings DIR/No.yaml; FAULTY_SETTINGS
          serve --settings DIR/absent.yaml; FAULTY_SETTINGS
          check-settings --settings DIR/zopfwerk.yaml; OK
          check-settings --settings DIR/No.yaml; FAULTY_SETTINGS
          query --server http://127.0.0.1:1 --key-file DIR/key show; WRONG_USAGE
          query --server http://127.0.0.1:1 --key-file DIR/key remove account a; WRONG_USAGE
          query --server 127.0.0.1 --key-file DIR/key show servers; WRONG_USAGE
          query --server http://127.0.0.1:1 --key-file DIR/absent show servers; WRONG_USAGE
          query --server http://127.0.0.1:1 --key-file DIR/key --timeout 3 show servers; WRONG_USAGE
          query --server http://127.0.0.1:1 --key-file DIR/key show servers; UNREACHABLE
          order --server http://127.0.0.1:1 --key-file DIR/key; WRONG_USAGE
          order --server http://127.0.0.1:1 --key-file DIR/key show servers; WRONG_USAGE
          order --server http://127.0.0.1:1 --key-file DIR/key --file DIR/trace; WRONG_USAGE
          order --server http://127.0.0.1:1 --key-file DIR/key remove account a; UNREACHABLE
          call --server http://127.0.0.1:1 --key-file DIR/key --model m; WRONG_USAGE
          call --server http://127.0.0.1:1 --key-file DIR/key --model m --prompt p --count 0; WRONG_USAGE
          call --server http://127.0.0.1:1 --key-file DIR/key --model m --prompt p --resumes 0; UNREACHABLE
          replay --trace DIR/trace; OK
          replay --trace DIR/absent; WRONG_USAGE
          replay --trace DIR/trace --policy unknown; WRONG_USAGE
          """)
  void each_ending_has_its_exit_code(String line, ExitCode expected) {
    assertThat(run(line), is(expected));
  }

  @Test
  void faults_of_the_settings_are_reported_before_the_daemon_starts() {
    run("serve --settings DIR/No.yaml");

    assertThat(fixture.err(), containsString("No.yaml:1:13: deployment: expected a name"));
    assertThat(served, hasSize(0));
  }

  @Test
  void the_replay_gets_the_trace_the_policies_and_the_seed() {
    run("replay --trace DIR/trace --policy a,b --seed 7");

    assertThat(
        replayed,
        is(
            List.of(
                new ReplayCommand.Request(
                    List.of("one", "two"), "zopfwerk", List.of("a", "b"), 7))));
    assertThat(fixture.out(), is("policy  stalls\na            1\n"));
  }

  @Test
  void a_fault_of_a_key_file_does_not_print_the_key() throws IOException {
    Files.writeString(directory.resolve("key"), "two secret words");

    assertThat(
        run("query --server http://127.0.0.1:1 --key-file DIR/key show servers"),
        is(ExitCode.WRONG_USAGE));
    assertThat(fixture.err().contains("secret"), is(false));
  }

  @Test
  void exit_codes_are_distinct() {
    Set<Integer> numbers =
        Arrays.stream(ExitCode.values()).map(ExitCode::number).collect(Collectors.toSet());

    assertThat(numbers, hasSize(ExitCode.values().length));
  }
}
