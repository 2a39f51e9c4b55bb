package org.cactusseam.edge.logging;

import java.util.Optional;
import java.util.regex.Pattern;
import org.jboss.logging.Logger;
import org.jboss.logging.MDC;
import org.jspecify.annotations.Nullable;

/**
 * Logs events with fields, such as {@code permit_granted server=w1 tokens=12}. Never throws,
 * because a logging error must not fail a request.
 *
 * <p>The identity of a request is put into the diagnostic context for each line only, and not kept
 * on the thread: an event loop serves many requests, and the identity would mark the lines of
 * others.
 */
public final class StructuredLog {

  /** Key of the request identity in the mapped diagnostic context (MDC). */
  public static final String REQUEST = "request";

  private static final int MAX_VALUE_LENGTH = 1_024;
  private static final Pattern UNQUOTED_VALUE = Pattern.compile("[^\\s\"=\\p{Cntrl}]+");

  private final Logger logger;
  private final Optional<String> request;

  /**
   * Field of an event.
   *
   * @param key name of the field
   * @param value value of the field, logged in its text form
   */
  public record Field(String key, @Nullable Object value) {}

  private StructuredLog(Logger logger, Optional<String> request) {
    this.logger = logger;
    this.request = request;
  }

  /**
   * Creates the log of a class.
   *
   * @param type class that names the logger
   * @return log without a request identity
   */
  public static StructuredLog of(Class<?> type) {
    return new StructuredLog(Logger.getLogger(type), Optional.empty());
  }

  /**
   * Creates a field of an event.
   *
   * @param key name of the field
   * @param value value of the field, logged in its text form
   * @return field
   */
  public static Field field(String key, @Nullable Object value) {
    return new Field(key, value);
  }

  /**
   * Returns a log for one request.
   *
   * @param identity identity of the request
   * @return log that adds the identity to each line
   */
  public StructuredLog forRequest(String identity) {
    return new StructuredLog(logger, Optional.of(identity));
  }

  /**
   * Logs an error that requires an operator to act.
   *
   * @param event name of the event
   * @param fields fields of the event, in output order
   */
  public void error(String event, Field... fields) {
    write(Logger.Level.ERROR, event, null, fields);
  }

  /**
   * Logs an error that requires an operator to act, with its cause.
   *
   * @param event name of the event
   * @param cause cause of the error
   * @param fields fields of the event, in output order
   */
  public void error(String event, Throwable cause, Field... fields) {
    write(Logger.Level.ERROR, event, cause, fields);
  }

  /**
   * Logs an error that the daemon handles itself.
   *
   * @param event name of the event
   * @param fields fields of the event, in output order
   */
  public void warn(String event, Field... fields) {
    write(Logger.Level.WARN, event, null, fields);
  }

  /**
   * Logs a state change of the daemon.
   *
   * @param event name of the event
   * @param fields fields of the event, in output order
   */
  public void info(String event, Field... fields) {
    write(Logger.Level.INFO, event, null, fields);
  }

  /**
   * Logs a step of a request.
   *
   * @param event name of the event
   * @param fields fields of the event, in output order
   */
  public void debug(String event, Field... fields) {
    write(Logger.Level.DEBUG, event, null, fields);
  }

  private void write(Logger.Level level, String event, @Nullable Throwable cause, Field... fields) {
    try {
      if (logger.isEnabled(level)) {
        writeWithRequest(level, formatMessage(event, fields), cause);
      }
    } catch (RuntimeException e) {
      // An error of the log itself cannot be reported anywhere.
      return;
    }
  }

  private void writeWithRequest(Logger.Level level, String message, @Nullable Throwable cause) {
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

  private static String formatMessage(String event, Field... fields) {
    StringBuilder message = new StringBuilder(event);
    for (Field field : fields) {
      message.append(' ').append(field.key()).append('=').append(formatValue(field.value()));
    }
    return message.toString();
  }

  private static String formatValue(@Nullable Object value) {
    String text;
    try {
      text = String.valueOf(value);
    } catch (RuntimeException e) {
      return "unprintable";
    }
    if (text.length() > MAX_VALUE_LENGTH) {
      text = text.substring(0, MAX_VALUE_LENGTH) + "...";
    }
    return UNQUOTED_VALUE.matcher(text).matches() ? text : quote(text);
  }

  private static String quote(String text) {
    String escaped =
        text.replace("\\", "\\\\")
            .replace("\"", "\\\"")
            .replace("\n", "\\n")
            .replace("\r", "\\r")
            .replaceAll("\\p{Cntrl}", "?");
    return '"' + escaped + '"';
  }
}
