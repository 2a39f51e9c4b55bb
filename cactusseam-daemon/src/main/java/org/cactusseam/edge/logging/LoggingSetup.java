package org.cactusseam.edge.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import java.net.URL;
import java.util.Locale;
import java.util.Objects;
import org.cactusseam.edge.settings.Settings;
import org.slf4j.LoggerFactory;

/** Applies the level and format of the settings to the log output. */
public final class LoggingSetup {

  private LoggingSetup() {}

  /**
   * Configures all loggers of the process.
   *
   * @param logging level and format
   * @throws IllegalStateException if the bundled log configuration is invalid
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
      throw new IllegalStateException("the bundled log configuration is invalid", e);
    }
  }

  private static URL configuration(Settings.LogFormat format) {
    String name = format.name().toLowerCase(Locale.ROOT) + ".xml";
    return Objects.requireNonNull(LoggingSetup.class.getResource(name), name);
  }
}
