package org.cactusseam.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.cactusseam.edge.logging.LoggingSetup;
import org.cactusseam.edge.settings.Settings;

/** Subcommand {@code serve}: runs an entry daemon until it has shut down. */
public final class ServeCommand implements Subcommand {

  private final OptionParser parser = new OptionParser();
  private final SettingsOption settings = new SettingsOption(parser);
  private final Daemon daemon;

  /** Runs an entry daemon; an interface, so that tests can replace it. */
  @FunctionalInterface
  public interface Daemon {

    /**
     * Starts the daemon and returns after it has shut down.
     *
     * @param settings validated settings
     * @throws Exception if the daemon cannot start, or fails while it runs
     */
    void run(Settings settings) throws Exception;
  }

  /**
   * Declares the options.
   *
   * @param daemon runs the entry daemon
   */
  public ServeCommand(Daemon daemon) {
    this.daemon = daemon;
  }

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "runs an entry daemon";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    return settings
        .load(options, terminal)
        .fold(faults -> ExitCode.FAULTY_SETTINGS, loaded -> serve(loaded, terminal));
  }

  private ExitCode serve(Settings loaded, Terminal terminal) {
    LoggingSetup.apply(loaded.logging());
    try {
      daemon.run(loaded);
      return ExitCode.OK;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCode.INTERNAL;
    } catch (Exception e) {
      terminal.err().println("cactusseam serve: " + e);
      return ExitCode.INTERNAL;
    }
  }
}
