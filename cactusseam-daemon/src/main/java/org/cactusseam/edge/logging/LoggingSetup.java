package org.cactusseam.edge.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import java.net.URL;
import java.util.Locale;
import java.util.Objects;
import org.cactusseam.edge.settings.Settings;
import org.slf4j.LoggerFactory;

/** Switches the log output to the level and format of the settings. */
public final class LoggingSetup {

  private LoggingSetup() {}

  /**
   * Applies settings to all loggers of the process.
   *
   * @param logging settings
   * @throws IllegalStateException if the configuration that comes with the daemon is broken
   */
  public static void apply(Settings.Logging logging) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    context.putProperty("level", logging.level().name());
    JoranConfigurator configurator = new JoranConfigurator();
    configurator.setContext(context);
    try {
      configurator.doConfigure(configuration(logging.format()));
    } catch (JoranException e) {
      throw new IllegalStateException("the log configuration is broken", e);
    }
  }

  private static URL configuration(Settings.LogFormat format) {
    String name = format.name().toLowerCase(Locale.ROOT) + ".xml";
    return Objects.requireNonNull(LoggingSetup.class.getResource(name), name);
  }
}
