package org.cactusseam.edge.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Splits the body of an event stream into complete events without changing their bytes. A server
 * may stop in the middle of an event; an incomplete event is never forwarded.
 */
final class EventSplitter {

  private static final String EVENT_END = "\n\n";
  private static final String ID_FIELD = "id:";

  private final RecordParser parser = RecordParser.newDelimited(EVENT_END);
  private final Consumer<Event> events;
  private long received;
  private long forwarded;

  /**
   * A complete event.
   *
   * @param id number in its {@code id} field, empty without one
   * @param bytes bytes of the event, including the blank line at its end
   */
  record Event(OptionalLong id, Buffer bytes) {}

  EventSplitter(Consumer<Event> events) {
    this.events = events;
    parser.handler(this::onEvent);
  }

  void add(Buffer bytes) {
    received += bytes.length();
    parser.handle(bytes);
  }

  /** Returns whether all bytes received so far belong to complete events. */
  boolean isAtEventEnd() {
    return incompleteBytes() == 0;
  }

  /** Returns the number of bytes received since the end of the last complete event. */
  long incompleteBytes() {
    return received - forwarded;
  }

  private void onEvent(Buffer event) {
    forwarded += event.length() + EVENT_END.length();
    Buffer complete = Buffer.buffer(event.length() + EVENT_END.length());
    complete.appendBuffer(event).appendString(EVENT_END);
    events.accept(new Event(parseId(event), complete));
  }

  private static OptionalLong parseId(Buffer event) {
    String text = event.toString(StandardCharsets.ISO_8859_1);
    for (String line : text.split("\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        String value = line.substring(ID_FIELD.length()).strip();
        try {
          return OptionalLong.of(Long.parseLong(value));
        } catch (NumberFormatException e) {
          return OptionalLong.empty();
        }
      }
    }
    return OptionalLong.empty();
  }
}
