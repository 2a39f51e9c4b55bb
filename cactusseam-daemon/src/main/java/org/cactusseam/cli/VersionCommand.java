package org.cactusseam.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.jspecify.annotations.Nullable;

/** Subcommand {@code version}: prints the version of the program and of Java. */
public final class VersionCommand implements Subcommand {

  // Maven adds this file to the archive; it is absent if the classes are run from a directory.
  private static final String DESCRIPTION =
      "/META-INF/maven/org.cactusseam/cactusseam-daemon/pom.properties";

  private final OptionParser parser = new OptionParser();

  /** Declares no options. */
  public VersionCommand() {}

  @Override
  public String name() {
    return "version";
  }

  @Override
  public String summary() {
    return "prints the version";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    terminal.out().println("cactusseam " + version() + " on Java " + Runtime.version());
    return ExitCode.OK;
  }

  private static String version() {
    try (@Nullable InputStream stream = VersionCommand.class.getResourceAsStream(DESCRIPTION)) {
      Properties properties = new Properties();
      if (stream != null) {
        properties.load(stream);
      }
      return properties.getProperty("version", "(not packaged)");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
