package org.cactusseam.cli;

import java.util.Optional;

/** Incremental parser for server-sent events, limited to the fields that completion streams use. */
final class ServerSentEvents {

  private String id = "";
  private String type = "";
  private StringBuilder data = new StringBuilder();
  private boolean hasData;

  /**
   * Parsed event.
   *
   * @param id event id, or empty
   * @param type event type, or empty
   * @param data data, with its lines joined by line breaks
   */
  record Event(String id, String type, String data) {}

  /**
   * Processes one line of the stream.
   *
   * @param line line without its line feed; a carriage return at its end is ignored
   * @return the event that the line completes, or empty
   */
  Optional<Event> accept(String line) {
    String content = line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    if (content.isEmpty()) {
      return finish();
    }
    int colon = content.indexOf(':');
    if (colon == 0) {
      // A comment, sent to keep idle connections open.
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
        // Other fields, such as retry, are not used.
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
