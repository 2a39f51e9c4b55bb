package org.cactusseam.cli;

import java.io.PrintStream;

/**
 * Where a subcommand writes.
 *
 * @param out results, for people and scripts
 * @param err faults and progress
 */
public record Terminal(PrintStream out, PrintStream err) {}
