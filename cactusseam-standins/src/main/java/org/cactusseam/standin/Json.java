package org.cactusseam.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/**
 * Reads and writes JSON with member names in snake case, the convention of all simulated external
 * protocols.
 */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .build();

  private Json() {}

  /**
   * Creates an empty JSON object.
   *
   * @return new object
   */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Parses a JSON object.
   *
   * @param text JSON text
   * @return parsed object
   * @throws InvalidInputException if the text is not a JSON object
   */
  public static ObjectNode parseObject(String text) {
    try {
      if (MAPPER.readTree(text) instanceof ObjectNode object) {
        return object;
      }
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(e.getOriginalMessage(), e);
    }
    throw new InvalidInputException("expected a JSON object");
  }

  /**
   * Converts a JSON tree to a value, usually a record.
   *
   * @param tree JSON tree
   * @param type class of the value
   * @param <T> type of the value
   * @return converted value
   * @throws InvalidInputException if a member is unknown, missing or of a wrong type
   */
  public static <T> T toValue(JsonNode tree, Class<T> type) {
    try {
      return MAPPER.treeToValue(tree, type);
    } catch (JsonProcessingException e) {
      throw new InvalidInputException(e.getOriginalMessage(), e);
    }
  }

  /**
   * Converts a record to a JSON object with a member for each component.
   *
   * @param value record to convert
   * @return JSON object
   */
  public static ObjectNode toTree(Record value) {
    return MAPPER.valueToTree(value);
  }

  /**
   * Serializes a value or a JSON tree.
   *
   * @param value record, collection or JSON tree
   * @return JSON text
   */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be serialized as JSON", e);
    }
  }
}
