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
 * Answer to {@code POST /operator/commands}, written by the daemon and read by the command line:
 * {@code {"code":N,"name":"...","message":"...","output":"..."}} with a table as text, or with
 * {@code "rows":[...]} in place of the output.
 *
 * @param code number of the result code
 * @param name name of the result code
 * @param message text for people
 * @param output table as text
 * @param rows table as one object a row
 */
public record OperatorAnswer(
    int code, String name, String message, Optional<String> output, Optional<ArrayNode> rows) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Format of a table. */
  public enum Format {
    /** Aligned text. */
    TABLE,
    /** One JSON object a row. */
    JSON
  }

  /**
   * Makes an answer without a table.
   *
   * @param code result
   * @param message text for people
   * @return the answer
   */
  public static OperatorAnswer of(ResultCode code, String message) {
    return new OperatorAnswer(
        code.number(), code.name(), message, Optional.empty(), Optional.empty());
  }

  /**
   * Makes the answer to a query.
   *
   * @param table table
   * @param format format of the table
   * @return the answer
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
              code.number(), code.name(), message, Optional.empty(), Optional.of(rows(table)));
    };
  }

  private static ArrayNode rows(ResultTable table) {
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
   * Writes the answer.
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
   * Reads an answer. A refusal in the form for callers, {@code {"error":{...}}}, is read as well,
   * because the daemon refuses a wrong key before it looks at the command.
   *
   * @param json body of a response
   * @return the answer, or empty if the body is not one
   */
  public static Optional<OperatorAnswer> parse(String json) {
    try {
      JsonNode root = MAPPER.readTree(json);
      JsonNode node = root.path("error").isObject() ? root.path("error") : root;
      boolean isAnswer = node.path("code").isInt() && node.path("message").isTextual();
      return isAnswer ? Optional.of(parse(node)) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static OperatorAnswer parse(JsonNode node) {
    return new OperatorAnswer(
        node.path("code").asInt(),
        node.path("name").asText(),
        node.path("message").asText(),
        Optional.of(node.path("output")).filter(JsonNode::isTextual).map(JsonNode::asText),
        Optional.of(node.path("rows")).filter(JsonNode::isArray).map(ArrayNode.class::cast));
  }
}
