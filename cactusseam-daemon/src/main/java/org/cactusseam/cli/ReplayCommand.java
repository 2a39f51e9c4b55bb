package org.cactusseam.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.util.PathConverter;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.logic.replay.TraceFormat;
import org.cactusseam.logic.replay.TraceGenerator;
import org.cactusseam.logic.replay.TraceShape;

/** Replays a trace of requests against models of the engines and compares policies. */
public final class ReplayCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Path> trace =
      parser
          .accepts("trace", "file with the trace")
          .withRequiredArg()
          .withValuesConvertedBy(new PathConverter())
          .describedAs("FILE");
  private final OptionSpec<String> shape =
      parser
          .accepts("shape", "generates a trace instead: calm, crowded or burst")
          .requiredUnless(trace)
          .withRequiredArg()
          .describedAs("SHAPE");
  private final OptionSpec<Void> faults =
      parser.accepts("faults", "a generated trace has a failure domain out and cold servers");
  private final OptionSpec<Path> save =
      parser
          .accepts("save", "file to which a generated trace is written")
          .withRequiredArg()
          .withValuesConvertedBy(new PathConverter())
          .describedAs("FILE");
  private final OptionSpec<String> deployment =
      parser
          .accepts("deployment", "deployment that is replayed: zopfwerk or flagline")
          .withRequiredArg()
          .describedAs("NAME")
          .defaultsTo("zopfwerk");
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
   * @param deployment name of the deployment
   * @param policies names of policies; empty means all
   * @param seed seed of the random numbers
   */
  public record Request(List<String> trace, String deployment, List<String> policies, long seed) {

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
    Either<List<String>, ResultTable> run(Request request);
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
    Request request =
        new Request(
            lines(options),
            options.valueOf(deployment),
            options.valuesOf(policies),
            options.valueOf(seed));
    return runner
        .run(request)
        .fold(
            faults -> {
              faults.forEach(terminal.err()::println);
              return ExitCode.WRONG_USAGE;
            },
            table -> print(table, options.has(json), terminal));
  }

  private List<String> lines(OptionSet options) {
    try {
      return options.has(trace)
          ? Files.readAllLines(options.valueOf(trace), StandardCharsets.UTF_8)
          : generated(options);
    } catch (IOException e) {
      throw new UsageException("a trace file cannot be read or written as UTF-8 text");
    }
  }

  private List<String> generated(OptionSet options) throws IOException {
    StringWriter text = new StringWriter();
    TraceFormat.write(
        TraceGenerator.generate(
            PolicyReplay.deployment(options.valueOf(deployment))
                .getOrElseThrow(() -> new UsageException("--deployment: zopfwerk or flagline")),
            shapeOf(options.valueOf(shape)),
            options.valueOf(seed),
            options.has(faults)),
        text);
    if (options.has(save)) {
      Files.writeString(options.valueOf(save), text.toString());
    }
    return text.toString().lines().toList();
  }

  private static TraceShape shapeOf(String name) {
    return Arrays.stream(TraceShape.values())
        .filter(each -> each.name().equalsIgnoreCase(name))
        .findFirst()
        .orElseThrow(() -> new UsageException("--shape: calm, crowded or burst"));
  }

  private static ExitCode print(ResultTable table, boolean asJson, Terminal terminal) {
    terminal
        .out()
        .print(
            asJson
                ? OperatorAnswer.of(table, OperatorAnswer.Format.JSON).toJson() + "\n"
                : table.toText());
    return ExitCode.OK;
  }
}
