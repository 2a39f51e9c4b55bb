package org.cactusseam.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cactusseam.logic.explain.Explanation;
import org.cactusseam.logic.explain.LogLine;

/**
 * Subcommand {@code explain}: reconstructs the history of one request from the logs of several
 * processes.
 */
public final class ExplainCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> arguments =
      parser.nonOptions("identity of the request, followed by the log files of all processes");

  /** Declares the options. */
  public ExplainCommand() {}

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "reconstructs the history of a request from the logs of several processes";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    List<String> values = options.valuesOf(arguments);
    if (values.size() < 2) {
      throw new UsageException("expected the identity of a request and at least one log file");
    }
    List<LogLine> lines = new ArrayList<>();
    for (String file : values.subList(1, values.size())) {
      lines.addAll(read(Path.of(file)));
    }
    List<String> text = new Explanation(values.getFirst(), lines).toLines();
    if (text.isEmpty()) {
      terminal
          .err()
          .println("no line of request " + values.getFirst() + " among " + lines.size() + " lines");
      return ExitCode.INCOMPLETE;
    }
    text.forEach(terminal.out()::println);
    return ExitCode.OK;
  }

  private static List<LogLine> read(Path file) {
    // A killed process may leave an incomplete character at the end of its log.
    var decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPLACE);
    String name = String.valueOf(file.getFileName()).replaceFirst("\\.(log|txt)$", "");
    try (var reader =
        new BufferedReader(new InputStreamReader(Files.newInputStream(file), decoder))) {
      return reader.lines().flatMap(line -> LogLine.parse(line, name).stream()).toList();
    } catch (IOException e) {
      throw new UsageException("cannot read " + file + ": " + e.getMessage());
    }
  }
}
