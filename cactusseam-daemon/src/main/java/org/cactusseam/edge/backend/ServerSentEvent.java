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
    StringBuilder data = new StringBuilder();
    @Nullable String separator = null;
    for (String line : block.split("\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        index = OptionalLong.of(Long.parseLong(line.substring(ID_FIELD.length()).trim()));
      } else if (line.startsWith(DATA_FIELD)) {
        if (separator != null) {
          data.append(separator);
        }
        separator = "\n";
        data.append(line.substring(DATA_FIELD.length()).stripLeading());
      }
    }
    return new ServerSentEvent(index, data.toString());
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
