package org.cactusseam.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.util.PathConverter;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.logic.query.AnswerTable;

/** Replays a trace of requests against models of the engines and compares policies. */
public final class ReplayCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Path> trace =
      parser
          .accepts("trace", "file with the trace")
          .withRequiredArg()
          .withValuesConvertedBy(new PathConverter())
          .describedAs("FILE")
          .required();
  private final OptionSpec<String> policies =
      parser
          .accepts("policy", "policies to compare, separated by commas; all if left out")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .describedAs("NAME");
  private final OptionSpec<Long> seed =
      parser
          .accepts("seed", "seed of the random numbers; the same seed gives the same result")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(1L);
  private final OptionSpec<Void> json = parser.accepts("json", "prints JSON instead of a table");
  private final Runner runner;

  /**
   * What is to be replayed.
   *
   * @param trace lines of the trace
   * @param policies names of policies; empty means all
   * @param seed seed of the random numbers
   */
  public record Request(List<String> trace, List<String> policies, long seed) {

    /** Copies the lists. */
    public Request {
      trace = List.copyOf(trace);
      policies = List.copyOf(policies);
    }
  }

  /** The replay, as this subcommand sees it. */
  @FunctionalInterface
  public interface Runner {

    /**
     * Replays a trace.
     *
     * @param request what is to be replayed
     * @return one row for each policy, or the faults of the request, for people
     */
    Either<List<String>, AnswerTable> run(Request request);
  }

  /**
   * Declares the options.
   *
   * @param runner replay
   */
  public ReplayCommand(Runner runner) {
    this.runner = runner;
  }

  @Override
  public String name() {
    return "replay";
  }

  @Override
  public String summary() {
    return "replays a trace and compares admission policies";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    List<String> lines;
    try {
      lines = Files.readAllLines(options.valueOf(trace), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UsageException("--trace cannot be read as UTF-8 text: " + options.valueOf(trace));
    }
    Request request = new Request(lines, options.valuesOf(policies), options.valueOf(seed));
    return runner
        .run(request)
        .fold(
            faults -> {
              faults.forEach(terminal.err()::println);
              return ExitCode.WRONG_USAGE;
            },
            table -> print(table, options.has(json), terminal));
  }

  private static ExitCode print(AnswerTable table, boolean asJson, Terminal terminal) {
    terminal
        .out()
        .print(
            asJson
                ? OperatorAnswer.of(table, OperatorAnswer.Format.JSON).toJson() + "\n"
                : table.toText());
    return ExitCode.OK;
  }
}
