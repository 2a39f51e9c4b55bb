package org.cactusseam.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Subcommand {@code check-settings}: validates a settings file without starting the daemon. */
public final class CheckSettingsCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final SettingsOption settings = new SettingsOption(parser);

  /** Declares the options. */
  public CheckSettingsCommand() {}

  @Override
  public String name() {
    return "check-settings";
  }

  @Override
  public String summary() {
    return "checks a settings file without starting anything";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    return settings
        .load(options, terminal)
        .fold(
            faults -> ExitCode.FAULTY_SETTINGS,
            loaded -> {
              terminal.out().println("no faults");
              return ExitCode.OK;
            });
  }
}
