package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import org.cactusseam.standin.StandInFixture;

/** Reads the server-sent events of an engine from a response. */
final class ServerSentEventReader implements AutoCloseable {

  private static final String DONE = "[DONE]";

  private final BufferedReader reader;
  private final List<Event> events = new ArrayList<>();
  private boolean done;

  /** An event. The index is empty if the event ends the stream without a token. */
  record Event(OptionalInt index, JsonNode chunk) {
    String text() {
      JsonNode choice = chunk.at("/choices/0");
      return choice.has("delta")
          ? choice.at("/delta/content").asText()
          : choice.get("text").asText();
    }

    Optional<String> finish() {
      return Optional.ofNullable(chunk.at("/choices/0/finish_reason").textValue());
    }

    int completionTokens() {
      return chunk.at("/usage/completion_tokens").asInt(-1);
    }
  }

  ServerSentEventReader(HttpResponse<InputStream> response) {
    reader = new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
  }

  /** Reads until at least {@code count} events have been received or the stream has ended. */
  ServerSentEventReader read(int count) throws IOException {
    while (events.size() < count && readEvent()) {
      // readEvent() in the condition does the work
    }
    return this;
  }

  /** Reads until the stream ends or the connection is lost. */
  ServerSentEventReader readAll() {
    try {
      read(Integer.MAX_VALUE);
    } catch (IOException e) {
      done = false;
    }
    return this;
  }

  /** Returns whether the stream ended with the final event {@code [DONE]}. */
  boolean isDone() {
    return done;
  }

  List<Event> events() {
    return events;
  }

  Event last() {
    return events.getLast();
  }

  String text() {
    return events.stream().map(Event::text).collect(Collectors.joining());
  }

  String indexes() {
    return events.stream()
        .map(event -> event.index().isPresent() ? "" + event.index().getAsInt() : "-")
        .collect(Collectors.joining(" "));
  }

  private boolean readEvent() throws IOException {
    OptionalInt index = OptionalInt.empty();
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      if (line.startsWith("id: ")) {
        index = OptionalInt.of(Integer.parseInt(line.substring(4)));
      } else if (line.startsWith("data: ") && line.endsWith(DONE)) {
        done = true;
      } else if (line.startsWith("data: ")) {
        events.add(new Event(index, StandInFixture.parse(line.substring(6))));
        return true;
      }
    }
    return false;
  }

  @Override
  public void close() throws IOException {
    reader.close();
  }
}
