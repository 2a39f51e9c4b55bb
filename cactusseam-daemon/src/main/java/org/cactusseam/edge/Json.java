package org.cactusseam.edge;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Try;

/** JSON mapper of the daemon, set up once. */
public final class Json {

  /** Mapper for records of the log and answers to operators. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  /** A log record with a missing part would otherwise be read with null inside. */
  private static final ObjectReader RECORDS =
      MAPPER.reader().with(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

  private Json() {}

  /**
   * Writes a value.
   *
   * @param value value of a type that the mapper knows
   * @return JSON text on one line
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write " + value.getClass(), e);
    }
  }

  /**
   * Reads a value. Parts that the text lacks are null, so types for answers of others check them.
   *
   * @param text JSON text from outside
   * @param type type of the value
   * @param <T> type of the value
   * @return the value, or the failure
   */
  public static <T> Try<T> read(String text, Class<T> type) {
    return Try.of(() -> MAPPER.readValue(text, type));
  }

  /**
   * Reads a record of the log; every part has to be there.
   *
   * @param text JSON text from the log
   * @param type type of the record
   * @param <T> type of the record
   * @return the record, or the failure
   */
  public static <T> Try<T> readRecord(String text, Class<T> type) {
    return Try.of(() -> RECORDS.forType(type).readValue(text));
  }
}
