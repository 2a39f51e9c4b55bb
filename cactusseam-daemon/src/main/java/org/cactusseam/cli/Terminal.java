package org.cactusseam.cli;

import java.io.PrintStream;

/**
 * Output streams of a subcommand.
 *
 * @param out stream for results, read by users and scripts
 * @param err stream for errors and progress messages
 */
public record Terminal(PrintStream out, PrintStream err) {}
