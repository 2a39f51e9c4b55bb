package org.cactusseam.edge.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Cuts the body of a stream into complete events and keeps their bytes as they are. A server may
 * stop in the middle of an event; such a part is never passed on.
 */
final class EventSplitter {

  private static final String EVENT_END = "\n\n";
  private static final String IDENTITY_FIELD = "id:";

  private final RecordParser parser = RecordParser.newDelimited(EVENT_END);
  private final Consumer<Event> events;
  private long received;
  private long passedOn;

  /**
   * One event.
   *
   * @param id its number, if it has one
   * @param bytes its bytes with the end of the event
   */
  record Event(OptionalLong id, Buffer bytes) {}

  EventSplitter(Consumer<Event> events) {
    this.events = events;
    parser.handler(this::take);
  }

  void add(Buffer bytes) {
    received += bytes.length();
    parser.handle(bytes);
  }

  /** Returns whether all bytes so far belong to complete events. */
  boolean isAtEventEnd() {
    return received == passedOn;
  }

  private void take(Buffer event) {
    passedOn += event.length() + EVENT_END.length();
    Buffer whole = Buffer.buffer(event.length() + EVENT_END.length());
    whole.appendBuffer(event).appendString(EVENT_END);
    events.accept(new Event(identity(event), whole));
  }

  private static OptionalLong identity(Buffer event) {
    String text = event.toString(StandardCharsets.ISO_8859_1);
    for (String line : text.split("\n", -1)) {
      if (line.startsWith(IDENTITY_FIELD)) {
        String value = line.substring(IDENTITY_FIELD.length()).strip();
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
