package org.cactusseam.edge.backend;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * One server-sent event of an engine's stream.
 *
 * @param index index of the token, from the {@code id} field; empty for events without an id
 * @param data content of the {@code data} fields, joined by line feeds
 */
public record ServerSentEvent(OptionalLong index, String data) {

  /** Data of the event that ends a stream. */
  public static final String DONE = "[DONE]";

  private static final String DATA_FIELD = "data:";
  private static final String ID_FIELD = "id:";

  /**
   * Parses an event.
   *
   * @param block lines of the event, without the empty line that ends it
   * @return the event; its data is empty if there is no {@code data} field
   * @throws NumberFormatException if the id is not a number
   */
  public static ServerSentEvent parse(String block) {
    OptionalLong index = OptionalLong.empty();
    @Nullable String data = null;
    int start = 0;
    while (start <= block.length()) {
      int found = block.indexOf('\n', start);
      int end = found < 0 ? block.length() : found;
      if (block.startsWith(ID_FIELD, start)) {
        index =
            OptionalLong.of(Long.parseLong(block.substring(start + ID_FIELD.length(), end).trim()));
      } else if (block.startsWith(DATA_FIELD, start)) {
        String line = block.substring(skipWhitespace(block, start + DATA_FIELD.length(), end), end);
        data = data == null ? line : data + "\n" + line;
      }
      start = end + 1;
    }
    return new ServerSentEvent(index, data == null ? "" : data);
  }

  private static int skipWhitespace(String block, int from, int end) {
    int start = from;
    while (start < end && Character.isWhitespace(block.charAt(start))) {
      start++;
    }
    return start;
  }

  /**
   * Tells whether this event ends the stream.
   *
   * @return true for the last event
   */
  public boolean isDone() {
    return DONE.equals(data);
  }
}
