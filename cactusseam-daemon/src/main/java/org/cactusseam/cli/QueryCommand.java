package org.cactusseam.cli;

import io.vavr.control.Either;
import java.util.UUID;
import joptsimple.NonOptionArgumentSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.logic.query.Command;
import org.cactusseam.logic.query.CommandError;
import org.cactusseam.logic.query.CommandParser;

/** Subcommand {@code query}: sends a command that reads the state of the system. */
public final class QueryCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final ConnectionOptions connection = new ConnectionOptions(parser, "15s");
  private final OptionSpec<Void> json = parser.accepts("json", "prints JSON instead of a table");
  private final NonOptionArgumentSpec<String> words =
      parser.nonOptions("command, for example: show servers");

  /** Declares the options. */
  public QueryCommand() {}

  @Override
  public String name() {
    return "query";
  }

  @Override
  public String summary() {
    return "sends a command that reads the state of the system";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    String text = String.join(" ", options.valuesOf(words));
    Either<CommandError, Command> command = CommandParser.parse(text);
    if (command.isLeft()) {
      throw new UsageException(command.getLeft().message());
    }
    if (!(command.get() instanceof Command.Query)) {
      throw new UsageException("the command changes the system; use 'cactusseam order'");
    }
    boolean asJson = options.has(json);
    try (OperatorClient client = client(options)) {
      OperatorAnswer.Format format =
          asJson ? OperatorAnswer.Format.JSON : OperatorAnswer.Format.TABLE;
      return switch (client.send(text, UUID.randomUUID().toString(), format)) {
        case OperatorClient.Answered(OperatorAnswer answer) -> print(answer, asJson, terminal);
        case OperatorClient.Unanswered unanswered -> {
          terminal.err().println("cactusseam query: no response: " + unanswered.reason());
          yield ExitCode.UNREACHABLE;
        }
      };
    }
  }

  private OperatorClient client(OptionSet options) {
    return new OperatorClient(
        connection.http(options),
        connection.servers(options),
        connection.key(options),
        connection.timeout(options));
  }

  private static ExitCode print(OperatorAnswer answer, boolean asJson, Terminal terminal) {
    ExitCode code = ExitCode.ofResult(answer.code());
    if (asJson) {
      terminal.out().println(answer.toJson());
    } else if (code == ExitCode.OK) {
      terminal.out().print(answer.output().orElse(answer.message() + "\n"));
    } else {
      terminal.err().println(answer.code() + " " + answer.name() + ": " + answer.message());
    }
    return code;
  }
}
