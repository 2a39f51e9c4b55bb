package org.cactusseam.edge.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that are cut, joined or lost where reads end. */
class EventSplitterTest {

  private static final String FIRST = "id: 0\ndata: {\"text\":\"ä\"}";
  private static final String SECOND = "id: 1\ndata: b\ndata: c";
  private static final String THIRD = "data: [DONE]";
  private static final String STREAM = FIRST + "\n\n" + SECOND + "\n\n" + THIRD + "\n\n";

  private final List<String> events = new ArrayList<>();
  private int tooLong;

  private EventSplitter splitter(int maximumBytes) {
    return new EventSplitter(maximumBytes, events::add, () -> tooLong++);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 7, 11, 20, 26, 27, 28, 29, 50, 1000})
  void events_are_the_same_for_reads_of_any_length(int length) {
    EventSplitter splitter = splitter(100);
    Buffer bytes = Buffer.buffer(STREAM);
    for (int at = 0; at < bytes.length(); at += length) {
      splitter.handle(bytes.getBuffer(at, Math.min(bytes.length(), at + length)));
    }

    assertThat(events, contains(FIRST, SECOND, THIRD));
    assertThat(tooLong, is(0));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0123456789x", "0123456789x\n\n", "short\n\n0123456789x\n\nlater\n\n"})
  void an_event_that_is_too_long_ends_the_stream_once(String stream) {
    EventSplitter splitter = splitter(10);
    splitter.handle(Buffer.buffer(stream));
    splitter.handle(Buffer.buffer("more\n\n"));

    assertThat(tooLong, is(1));
    assertThat(events.contains("more"), is(false));
    assertThat(events.contains("later"), is(false));
  }

  @Test
  void an_event_of_the_greatest_length_passes() {
    splitter(10).handle(Buffer.buffer("0123456789\n\n"));

    assertThat(events, contains("0123456789"));
  }
}
