package org.cactusseam.edge.logging;

import java.util.Optional;
import java.util.regex.Pattern;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;
import org.jspecify.annotations.Nullable;

/**
 * Writes events with fields, like {@code permit_granted server=w1 tokens=12}. It never throws,
 * because a fault of the log must not end a request.
 *
 * <p>The identity of a request is set around each line instead of once for the thread: an event
 * loop serves many requests, and a value that stays on the thread would mark the lines of others.
 */
public final class StructuredLog {

  /** Key of the request identity in the diagnostic context. */
  public static final String REQUEST = "request";

  private static final int LONGEST_VALUE = 1_024;
  private static final Pattern PLAIN = Pattern.compile("[^\\s\"=\\p{Cntrl}]+");

  private final Logger logger;
  private final Optional<String> request;

  /**
   * A field of an event.
   *
   * @param key name
   * @param value value, shown by its text
   */
  public record Field(String key, @Nullable Object value) {}

  private StructuredLog(Logger logger, Optional<String> request) {
    this.logger = logger;
    this.request = request;
  }

  /**
   * Creates the log of a class.
   *
   * @param type class
   * @return log without a request
   */
  public static StructuredLog of(Class<?> type) {
    return new StructuredLog(Logger.getLogger(type), Optional.empty());
  }

  /**
   * Makes a field.
   *
   * @param key name
   * @param value value, shown by its text
   * @return the field
   */
  public static Field field(String key, @Nullable Object value) {
    return new Field(key, value);
  }

  /**
   * Returns the log of one request.
   *
   * @param identity identity of the request
   * @return log that marks each line with the identity
   */
  public StructuredLog forRequest(String identity) {
    return new StructuredLog(logger, Optional.of(identity));
  }

  /**
   * Writes a fault that needs an operator.
   *
   * @param event name of the event
   * @param fields fields
   */
  public void error(String event, Field... fields) {
    write(Logger.Level.ERROR, event, null, fields);
  }

  /**
   * Writes a fault that needs an operator, with its cause.
   *
   * @param event name of the event
   * @param cause cause
   * @param fields fields
   */
  public void error(String event, Throwable cause, Field... fields) {
    write(Logger.Level.ERROR, event, cause, fields);
  }

  /**
   * Writes a fault that the daemon handles.
   *
   * @param event name of the event
   * @param fields fields
   */
  public void warn(String event, Field... fields) {
    write(Logger.Level.WARN, event, null, fields);
  }

  /**
   * Writes a change of state.
   *
   * @param event name of the event
   * @param fields fields
   */
  public void info(String event, Field... fields) {
    write(Logger.Level.INFO, event, null, fields);
  }

  /**
   * Writes a step of a request.
   *
   * @param event name of the event
   * @param fields fields
   */
  public void debug(String event, Field... fields) {
    write(Logger.Level.DEBUG, event, null, fields);
  }

  private void write(Logger.Level level, String event, @Nullable Throwable cause, Field... fields) {
    try {
      if (logger.isEnabled(level)) {
        writeMarked(level, message(event, fields), cause);
      }
    } catch (RuntimeException e) {
      // Nothing is left that could report the fault of the log itself.
      return;
    }
  }

  private void writeMarked(Logger.Level level, String message, @Nullable Throwable cause) {
    if (request.isEmpty()) {
      logger.log(level, message, cause);
      return;
    }
    Object previous = MDC.get(REQUEST);
    MDC.put(REQUEST, request.get());
    try {
      logger.log(level, message, cause);
    } finally {
      if (previous == null) {
        MDC.remove(REQUEST);
      } else {
        MDC.put(REQUEST, previous);
      }
    }
  }

  private static String message(String event, Field... fields) {
    StringBuilder message = new StringBuilder(event);
    for (Field field : fields) {
      message.append(' ').append(field.key()).append('=').append(text(field.value()));
    }
    return message.toString();
  }

  private static String text(@Nullable Object value) {
    String text;
    try {
      text = String.valueOf(value);
    } catch (RuntimeException e) {
      return "unprintable";
    }
    if (text.length() > LONGEST_VALUE) {
      text = text.substring(0, LONGEST_VALUE) + "...";
    }
    return PLAIN.matcher(text).matches() ? text : quoted(text);
  }

  private static String quoted(String text) {
    String escaped =
        text.replace("\\", "\\\\")
            .replace("\"", "\\\"")
            .replace("\n", "\\n")
            .replace("\r", "\\r")
            .replaceAll("\\p{Cntrl}", "?");
    return '"' + escaped + '"';
  }
}
