package org.cactusseam.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import joptsimple.NonOptionArgumentSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.util.PathConverter;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.logic.query.Command;
import org.cactusseam.logic.query.CommandError;
import org.cactusseam.logic.query.CommandParser;
import org.cactusseam.model.Names;
import org.cactusseam.model.ResultCode;

/**
 * Subcommand {@code order}: sends commands that change the system. The identity of each command is
 * printed before it is sent, so that an uncertain result can be queried with {@code show command
 * ID}.
 */
public final class OrderCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final ConnectionOptions connection = new ConnectionOptions(parser, "15s");
  private final OptionSpec<Void> json =
      parser.accepts("json", "prints one JSON object per command");
  private final OptionSpec<Path> file =
      parser
          .accepts("file", "file with one command per line; lines that start with # are skipped")
          .withRequiredArg()
          .withValuesConvertedBy(new PathConverter())
          .describedAs("FILE");
  private final OptionSpec<String> commandId =
      parser
          .accepts("command-id", "identity of a command that is resent")
          .withRequiredArg()
          .describedAs("ID");
  private final NonOptionArgumentSpec<String> words =
      parser.nonOptions("command, for example: take domain ost-wien out");

  /** Outcome of a command, for the summary of a file. */
  private enum Result {
    IN_FORCE,
    UNCHANGED,
    WAITING,
    FAILED
  }

  /** Declares the options. */
  public OrderCommand() {}

  @Override
  public String name() {
    return "order";
  }

  @Override
  public String summary() {
    return "sends commands that change the system";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    boolean hasWords = !options.valuesOf(words).isEmpty();
    if (options.has(file) == hasWords) {
      throw new UsageException("expected either a command or --file");
    }
    if (options.has(file) && options.has(commandId)) {
      throw new UsageException("--command-id can only be used with a single command");
    }
    if (options.has(commandId) && !Names.isValid(options.valueOf(commandId))) {
      throw new UsageException("--command-id is not a valid command identity");
    }
    Either<List<String>, List<OrderFile.Entry>> orders =
        hasWords ? parseArguments(options) : OrderFile.read(options.valueOf(file));
    if (orders.isLeft()) {
      orders.getLeft().forEach(terminal.err()::println);
      return ExitCode.WRONG_USAGE;
    }
    try (OperatorClient client =
        new OperatorClient(
            connection.http(options),
            connection.servers(options),
            connection.key(options),
            connection.timeout(options))) {
      return sendAll(orders.get(), options, client, terminal);
    }
  }

  private Either<List<String>, List<OrderFile.Entry>> parseArguments(OptionSet options) {
    String text = String.join(" ", options.valuesOf(words));
    Either<CommandError, Command> command = CommandParser.parse(text);
    if (command.isLeft()) {
      throw new UsageException(command.getLeft().message());
    }
    if (!(command.get() instanceof Command.Order)) {
      throw new UsageException("the command changes nothing; use 'cactusseam query'");
    }
    return Either.right(List.of(new OrderFile.Entry("", text)));
  }

  private ExitCode sendAll(
      List<OrderFile.Entry> orders, OptionSet options, OperatorClient client, Terminal terminal) {
    Map<Result, Integer> counts = new EnumMap<>(Result.class);
    ExitCode code = ExitCode.OK;
    int sent = 0;
    for (OrderFile.Entry order : orders) {
      String id =
          options.has(commandId) ? options.valueOf(commandId) : UUID.randomUUID().toString();
      terminal.err().println(prefix(order) + "command " + id + ": " + order.text());
      OperatorClient.Outcome outcome = client.send(order.text(), id, OperatorAnswer.Format.TABLE);
      sent++;
      ExitCode orderCode = report(order, id, outcome, options.has(json), terminal);
      counts.merge(result(orderCode, outcome), 1, Integer::sum);
      code = code == ExitCode.OK ? orderCode : code;
      if (orderCode != ExitCode.OK && orderCode != ExitCode.WAITING) {
        // Later commands may depend on this one, so the rest is not sent.
        code = orderCode;
        break;
      }
    }
    if (options.has(file)) {
      printCounts(counts, orders.size() - sent, terminal);
    }
    return code;
  }

  private static Result result(ExitCode code, OperatorClient.Outcome outcome) {
    boolean unchanged =
        outcome instanceof OperatorClient.Answered(OperatorAnswer answer)
            && answer.code() == ResultCode.UNCHANGED.number();
    return switch (code) {
      case OK -> unchanged ? Result.UNCHANGED : Result.IN_FORCE;
      case WAITING -> Result.WAITING;
      default -> Result.FAILED;
    };
  }

  private static String prefix(OrderFile.Entry order) {
    return order.place().isEmpty() ? "" : order.place() + ": ";
  }

  private static ExitCode report(
      OrderFile.Entry order,
      String id,
      OperatorClient.Outcome outcome,
      boolean asJson,
      Terminal terminal) {
    return switch (outcome) {
      case OperatorClient.Answered(OperatorAnswer answer) -> {
        String text =
            answer.code() + " " + answer.name() + ": " + answer.message() + " (command " + id + ")";
        terminal.out().println(asJson ? answer.toJson() : prefix(order) + text);
        yield ExitCode.ofResult(answer.code());
      }
      case OperatorClient.Unanswered unanswered -> {
        terminal.err().println(prefix(order) + "no response: " + unanswered.reason());
        terminal
            .err()
            .println(
                unanswered.sent()
                    ? "The result is not known; query it with: cactusseam query show command " + id
                    : "The command was not sent.");
        yield ExitCode.UNREACHABLE;
      }
    };
  }

  private static void printCounts(Map<Result, Integer> counts, int notSent, Terminal terminal) {
    int unchanged = counts.getOrDefault(Result.UNCHANGED, 0);
    int total = counts.values().stream().mapToInt(Integer::intValue).sum();
    if (total == 0) {
      terminal.err().println("the file contains no commands");
      return;
    }
    if (unchanged == total && notSent == 0) {
      terminal.err().println("nothing changed: all " + total + " commands were already in force");
      return;
    }
    terminal
        .err()
        .println(
            counts.getOrDefault(Result.IN_FORCE, 0)
                + " in force, "
                + unchanged
                + " unchanged, "
                + counts.getOrDefault(Result.WAITING, 0)
                + " waiting, "
                + counts.getOrDefault(Result.FAILED, 0)
                + " failed, "
                + notSent
                + " not sent");
  }
}
