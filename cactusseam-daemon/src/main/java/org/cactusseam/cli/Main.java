package org.cactusseam.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionException;
import joptsimple.OptionSet;
import org.cactusseam.edge.EntryDaemon;

/** Entry point of the command-line interface: selects a subcommand and parses its options. */
public final class Main {

  private static final List<String> HELP_OPTIONS = List.of("help", "h");

  private final List<Subcommand> subcommands;

  /**
   * Creates the command-line interface.
   *
   * @param subcommands subcommands, in the order in which the help text lists them
   */
  public Main(List<Subcommand> subcommands) {
    this.subcommands = List.copyOf(subcommands);
    for (Subcommand subcommand : this.subcommands) {
      subcommand.parser().acceptsAll(HELP_OPTIONS, "prints this text").forHelp();
    }
  }

  /**
   * Runs a subcommand and exits with its code.
   *
   * @param arguments name of the subcommand, followed by its options
   */
  public static void main(String[] arguments) {
    Main main =
        new Main(
            List.of(
                new ServeCommand(EntryDaemon::run),
                new CheckSettingsCommand(),
                new QueryCommand(),
                new OrderCommand(),
                new CallCommand(),
                new ReplayCommand(new PolicyReplay()),
                new ExplainCommand(),
                new VersionCommand()));
    ExitCode code = main.run(arguments, new Terminal(System.out, System.err));
    System.exit(code.number());
  }

  /**
   * Runs a subcommand.
   *
   * @param arguments name of the subcommand, followed by its options
   * @param terminal output streams
   * @return exit code of the process
   */
  public ExitCode run(String[] arguments, Terminal terminal) {
    if (arguments.length == 0) {
      printSummary(terminal.err());
      return ExitCode.WRONG_USAGE;
    }
    String name = arguments[0];
    if (HELP_OPTIONS.contains(name.replaceFirst("^--?", ""))) {
      printSummary(terminal.out());
      return ExitCode.OK;
    }
    Optional<Subcommand> subcommand =
        subcommands.stream().filter(one -> one.name().equals(name)).findFirst();
    if (subcommand.isEmpty()) {
      terminal.err().println("cactusseam: unknown subcommand: " + name);
      printSummary(terminal.err());
      return ExitCode.WRONG_USAGE;
    }
    String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
    return run(subcommand.get(), rest, terminal);
  }

  private static ExitCode run(Subcommand subcommand, String[] arguments, Terminal terminal) {
    String prefix = "cactusseam " + subcommand.name() + ": ";
    try {
      OptionSet options = subcommand.parser().parse(arguments);
      if (options.has(HELP_OPTIONS.getFirst())) {
        printHelp(subcommand, terminal);
        return ExitCode.OK;
      }
      return subcommand.run(options, terminal);
    } catch (OptionException | UsageException e) {
      terminal.err().println(prefix + e.getMessage());
      terminal.err().println("Try 'cactusseam " + subcommand.name() + " --help'.");
      return ExitCode.WRONG_USAGE;
    } catch (RuntimeException e) {
      terminal.err().println(prefix + "internal error: " + e);
      return ExitCode.INTERNAL;
    }
  }

  private static void printHelp(Subcommand subcommand, Terminal terminal) {
    terminal.out().println("cactusseam " + subcommand.name() + ": " + subcommand.summary());
    terminal.out().println();
    try {
      subcommand.parser().printHelpOn(terminal.out());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void printSummary(PrintStream stream) {
    stream.println("Usage: cactusseam SUBCOMMAND [OPTIONS]");
    stream.println();
    subcommands.forEach(
        one -> stream.println(String.format("  %-16s%s", one.name(), one.summary())));
    stream.println();
    stream.println("'cactusseam SUBCOMMAND --help' lists the options of a subcommand.");
  }
}
