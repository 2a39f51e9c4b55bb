package org.cactusseam.cli;

import java.util.Optional;

/** Reads server-sent events line by line, as far as streams of completions use them. */
final class ServerSentEvents {

  private String id = "";
  private String type = "";
  private StringBuilder data = new StringBuilder();
  private boolean hasData;

  /**
   * An event.
   *
   * @param id identity, or an empty text
   * @param type type, or an empty text
   * @param data data, with line breaks between its lines
   */
  record Event(String id, String type, String data) {}

  /**
   * Reads a line.
   *
   * @param line line without its end
   * @return the event that the line ends, or empty
   */
  Optional<Event> accept(String line) {
    String content = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    if (content.isEmpty()) {
      return finish();
    }
    int colon = content.indexOf(':');
    if (colon == 0) {
      // A comment, which keeps idle connections open.
      return Optional.empty();
    }
    String field = colon < 0 ? content : content.substring(0, colon);
    String value = colon < 0 ? "" : content.substring(colon + 1);
    set(field, value.startsWith(" ") ? value.substring(1) : value);
    return Optional.empty();
  }

  private void set(String field, String value) {
    switch (field) {
      case "id" -> id = value;
      case "event" -> type = value;
      case "data" -> {
        data.append(hasData ? "\n" : "").append(value);
        hasData = true;
      }
      default -> {
        // Other fields do not matter here.
      }
    }
  }

  private Optional<Event> finish() {
    Optional<Event> event =
        hasData ? Optional.of(new Event(id, type, data.toString())) : Optional.empty();
    id = "";
    type = "";
    data = new StringBuilder();
    hasData = false;
    return event;
  }
}
