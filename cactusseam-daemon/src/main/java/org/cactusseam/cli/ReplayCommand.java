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

/**
 * Subcommand {@code replay}: replays a request trace against simulated engines and compares
 * admission policies.
 */
public final class ReplayCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Path> trace =
      parser
          .accepts("trace", "file that contains the trace")
          .withRequiredArg()
          .withValuesConvertedBy(new PathConverter())
          .describedAs("FILE");
  private final OptionSpec<String> shape =
      parser
          .accepts("shape", "generates a trace instead of reading one: calm, crowded or burst")
          .requiredUnless(trace)
          .withRequiredArg()
          .describedAs("SHAPE");
  private final OptionSpec<Void> faults =
      parser.accepts(
          "faults", "includes an outage of a failure domain and cold servers in a generated trace");
  private final OptionSpec<Path> save =
      parser
          .accepts("save", "file to which a generated trace is written")
          .withRequiredArg()
          .withValuesConvertedBy(new PathConverter())
          .describedAs("FILE");
  private final OptionSpec<String> deployment =
      parser
          .accepts("deployment", "deployment to replay: zopfwerk or flagline")
          .withRequiredArg()
          .describedAs("NAME")
          .defaultsTo("zopfwerk");
  private final OptionSpec<String> policies =
      parser
          .accepts("policy", "policies to compare, separated by commas; all if omitted")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .describedAs("NAME");
  private final OptionSpec<Long> seed =
      parser
          .accepts(
              "seed", "seed of the random number generators; the same seed gives the same result")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(1L);
  private final OptionSpec<Void> json = parser.accepts("json", "prints JSON instead of a table");
  private final Runner runner;

  /**
   * Trace and policies to replay.
   *
   * @param trace lines of the trace, one JSON object each
   * @param deployment name of the deployment
   * @param policies names of the policies to compare; empty means all
   * @param seed seed of the random number generators
   */
  public record Request(List<String> trace, String deployment, List<String> policies, long seed) {

    /** Makes defensive copies of the lists. */
    public Request {
      trace = List.copyOf(trace);
      policies = List.copyOf(policies);
    }
  }

  /** Runs a replay; an interface, so that tests can replace it. */
  @FunctionalInterface
  public interface Runner {

    /**
     * Replays a trace.
     *
     * @param request trace and policies to replay
     * @return rows of each policy, or human-readable messages about an invalid request
     */
    Either<List<String>, ResultTable> run(Request request);
  }

  /**
   * Declares the options.
   *
   * @param runner runs the replay
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
            traceLines(options),
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

  private List<String> traceLines(OptionSet options) {
    try {
      return options.has(trace)
          ? Files.readAllLines(options.valueOf(trace), StandardCharsets.UTF_8)
          : generateTrace(options);
    } catch (IOException e) {
      throw new UsageException("a trace file cannot be read or written as UTF-8 text");
    }
  }

  private List<String> generateTrace(OptionSet options) throws IOException {
    StringWriter text = new StringWriter();
    TraceFormat.write(
        TraceGenerator.generate(
            PolicyReplay.deployment(options.valueOf(deployment))
                .getOrElseThrow(
                    () -> new UsageException("--deployment must be zopfwerk or flagline")),
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
        .orElseThrow(() -> new UsageException("--shape must be calm, crowded or burst"));
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
