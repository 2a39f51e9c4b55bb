package org.cactusseam.edge.backend;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * One event of an engine's stream.
 *
 * @param index index of the token; empty for events that carry none
 * @param data content
 */
public record ServerSentEvent(OptionalLong index, String data) {

  /** Content of the event that ends a stream. */
  public static final String DONE = "[DONE]";

  private static final String DATA_FIELD = "data:";
  private static final String ID_FIELD = "id:";

  /**
   * Reads an event.
   *
   * @param block lines of the event, without the empty line that ends it
   * @return the event
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
        String line = block.substring(valueStart(block, start + DATA_FIELD.length(), end), end);
        data = data == null ? line : data + "\n" + line;
      }
      start = end + 1;
    }
    return new ServerSentEvent(index, data == null ? "" : data);
  }

  private static int valueStart(String block, int from, int end) {
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
