package org.cactusseam.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Subcommand of the command-line interface. */
public interface Subcommand {

  /**
   * Returns the name that selects the subcommand on the command line.
   *
   * @return name, unique among the subcommands
   */
  String name();

  /**
   * Returns a description of one line for the help text.
   *
   * @return description
   */
  String summary();

  /**
   * Returns the parser that declares the options. {@link Main} adds {@code --help}.
   *
   * @return the same parser on each call
   */
  OptionParser parser();

  /**
   * Runs the subcommand.
   *
   * @param options options parsed by {@link #parser}
   * @param terminal output streams
   * @return exit code of the process
   */
  ExitCode run(OptionSet options, Terminal terminal);
}
