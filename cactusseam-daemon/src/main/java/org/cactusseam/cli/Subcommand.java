package org.cactusseam.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of {@code cactusseam}. */
public interface Subcommand {

  /**
   * Returns the word that selects the subcommand.
   *
   * @return name
   */
  String name();

  /**
   * Returns what the subcommand does, in one line.
   *
   * @return summary
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
   * @param options options as read by {@link #parser}
   * @param terminal where it writes
   * @return exit code
   */
  ExitCode run(OptionSet options, Terminal terminal);
}
