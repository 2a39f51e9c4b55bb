package org.cactusseam.edge.answer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.model.ResultCode;

/**
 * Response to {@code POST /operator/commands}, written by the daemon and parsed by the command line
 * tool: {@code {"code":N,"name":"...","message":"...","output":"..."}} with a table as text, or
 * with {@code "rows":[...]} instead of the output.
 *
 * @param code number of the result code
 * @param name name of the result code
 * @param message explanation for people
 * @param output table as aligned text, empty for other formats and for commands without a table
 * @param rows table as an array with one object for each row, empty as for {@code output}
 */
public record OperatorAnswer(
    int code, String name, String message, Optional<String> output, Optional<ArrayNode> rows) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Format in which a table is returned. */
  public enum Format {
    /** Aligned text. */
    TABLE,
    /** One JSON object for each row. */
    JSON
  }

  /**
   * Creates a response without a table.
   *
   * @param code result code of the command
   * @param message explanation for people
   * @return the response
   */
  public static OperatorAnswer of(ResultCode code, String message) {
    return new OperatorAnswer(
        code.number(), code.name(), message, Optional.empty(), Optional.empty());
  }

  /**
   * Creates the response to a query. Its message states the number of rows.
   *
   * @param table result of the query
   * @param format format in which the table is returned
   * @return the response, with result code {@code OK}
   */
  public static OperatorAnswer of(ResultTable table, Format format) {
    String message = table.rows().size() == 1 ? "1 row" : table.rows().size() + " rows";
    ResultCode code = ResultCode.OK;
    return switch (format) {
      case TABLE ->
          new OperatorAnswer(
              code.number(), code.name(), message, Optional.of(table.toText()), Optional.empty());
      case JSON ->
          new OperatorAnswer(
              code.number(), code.name(), message, Optional.empty(), Optional.of(toArray(table)));
    };
  }

  private static ArrayNode toArray(ResultTable table) {
    ArrayNode rows = JsonNodeFactory.instance.arrayNode();
    for (List<ResultTable.Cell> cells : table.rows()) {
      ObjectNode row = rows.addObject();
      for (int column = 0; column < cells.size(); column++) {
        String name = table.columns().get(column);
        switch (cells.get(column)) {
          case ResultTable.Text text -> row.put(name, text.value());
          case ResultTable.Number number -> row.put(name, number.value());
        }
      }
    }
    return rows;
  }

  /**
   * Serializes the response.
   *
   * @return JSON on one line
   */
  public String toJson() {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("code", code);
    node.put("name", name);
    node.put("message", message);
    output.ifPresent(text -> node.put("output", text));
    rows.ifPresent(array -> node.set("rows", array));
    return node.toString();
  }

  /**
   * Parses a response. Errors in the format for callers, {@code {"error":{...}}}, are accepted too,
   * because the daemon refuses an invalid key before it looks at the command.
   *
   * @param json body of an HTTP response
   * @return the parsed response, or empty if the body has neither format
   */
  public static Optional<OperatorAnswer> parse(String json) {
    try {
      JsonNode root = MAPPER.readTree(json);
      JsonNode node = root.path("error").isObject() ? root.path("error") : root;
      boolean isAnswer = node.path("code").isInt() && node.path("message").isTextual();
      return isAnswer ? Optional.of(parseNode(node)) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static OperatorAnswer parseNode(JsonNode node) {
    return new OperatorAnswer(
        node.path("code").asInt(),
        node.path("name").asText(),
        node.path("message").asText(),
        Optional.of(node.path("output")).filter(JsonNode::isTextual).map(JsonNode::asText),
        Optional.of(node.path("rows")).filter(JsonNode::isArray).map(ArrayNode.class::cast));
  }
}
