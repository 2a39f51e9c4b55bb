package org.cactusseam.edge;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Try;

/**
 * JSON mapper that all parts of the daemon share, with the strict reader for records of the control
 * log and the claims log.
 */
public final class Json {

  /**
   * Shared mapper. Ignores unknown properties, so that a text written by a later version can be
   * read.
   */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  /** Rejects a record that lacks a component; the shared mapper would fill it with null. */
  private static final ObjectReader RECORD_READER =
      MAPPER.reader().with(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

  private Json() {}

  /**
   * Encodes a value as JSON.
   *
   * @param value value of a type that the mapper can encode
   * @return JSON text on one line
   * @throws IllegalArgumentException if the mapper cannot encode the value
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode as JSON: " + value.getClass(), e);
    }
  }

  /**
   * Decodes a JSON text from outside the daemon. Components that the text lacks are null, so the
   * target type has to check them.
   *
   * @param text JSON text
   * @param type type to decode to
   * @param <T> type to decode to
   * @return the value, or the failure to decode it
   */
  public static <T> Try<T> read(String text, Class<T> type) {
    return Try.of(() -> MAPPER.readValue(text, type));
  }

  /**
   * Decodes a record of the log. Fails if the text lacks a component of the record.
   *
   * @param text JSON text from the log
   * @param type type of the record
   * @param <T> type of the record
   * @return the record, or the failure to decode it
   */
  public static <T> Try<T> readRecord(String text, Class<T> type) {
    return Try.of(() -> RECORD_READER.forType(type).readValue(text));
  }
}
