package org.cactusseam.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.util.PathConverter;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.edge.settings.SettingsFault;
import org.cactusseam.edge.settings.SettingsLoader;

/** The option {@code --settings}, which loads a settings file and reports its errors. */
final class SettingsOption {

  private final OptionSpec<Path> file;

  /**
   * Declares the option.
   *
   * @param parser option parser of a subcommand
   */
  SettingsOption(OptionParser parser) {
    file =
        parser
            .accepts("settings", "settings file of the entry daemon")
            .withRequiredArg()
            .withValuesConvertedBy(new PathConverter())
            .describedAs("FILE")
            .required();
  }

  /**
   * Loads the settings and prints all errors.
   *
   * @param options parsed options
   * @param terminal output streams; errors go to the error stream
   * @return settings, or the errors that were printed
   */
  Either<List<SettingsFault>, Settings> load(OptionSet options, Terminal terminal) {
    return SettingsLoader.load(options.valueOf(file))
        .peekLeft(faults -> faults.forEach(terminal.err()::println));
  }
}
