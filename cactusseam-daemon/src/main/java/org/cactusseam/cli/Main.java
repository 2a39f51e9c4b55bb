package org.cactusseam.cli;

import java.nio.file.Path;
import org.cactusseam.edge.EntryDaemon;
import org.cactusseam.edge.settings.SettingsLoader;

/** Entry point of the command line. */
public final class Main {

  private Main() {}

  /**
   * Runs a subcommand.
   *
   * @param arguments command line
   */
  public static void main(String[] arguments) {
    new EntryDaemon(SettingsLoader.load(Path.of(arguments[arguments.length - 1])).get())
        .start()
        .toCompletionStage()
        .toCompletableFuture()
        .join();
  }
}
