package org.cactusseam.system;

import java.io.UncheckedIOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.cactusseam.standin.Json;

/**
 * A client call that streams one completion, checks the order of the tokens and can resume the
 * generation.
 */
final class ModelCall {

  final String prompt;
  final int tokens;
  final StringBuilder text = new StringBuilder();
  final List<String> problems = new ArrayList<>();
  Optional<String> generation = Optional.empty();
  Optional<String> error = Optional.empty();
  long nextIndex;
  boolean complete;
  int status;

  ModelCall(String prompt, int tokens) {
    this.prompt = prompt;
    this.tokens = tokens;
  }

  /** Sends the request and reads until the stream ends or the connection breaks. */
  ModelCall send(int port) {
    String body =
        Json.object()
            .put("model", "llm")
            .put("prompt", prompt)
            .put("max_tokens", tokens)
            .put("stream", true)
            .toString();
    return read(
        Http.request(port, "/v1/completions")
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  /**
   * Resumes the generation after the last received token and reads until the stream ends or the
   * connection breaks.
   */
  ModelCall resume(int port) {
    String id = generation.orElseThrow();
    return read(
        Http.request(port, "/v1/generations/" + id)
            .header("Last-Event-ID", id + ":" + (nextIndex - 1))
            .GET());
  }

  private ModelCall read(HttpRequest.Builder request) {
    error = Optional.empty();
    try {
      HttpResponse<Stream<String>> response =
          Http.sendForLines(request.header("Authorization", "Bearer " + SystemUnderTest.KEY));
      status = response.statusCode();
      try (Stream<String> lines = response.body()) {
        readLines(lines.iterator());
      }
    } catch (UncheckedIOException e) {
      error = Optional.of("connection: " + e.getMessage());
    }
    return this;
  }

  private void readLines(Iterator<String> lines) {
    String id = "";
    while (lines.hasNext()) {
      String line = lines.next();
      if (line.startsWith("id: ")) {
        id = line.substring(4);
      } else if (line.startsWith("data: ")) {
        handleData(id, line.substring(6));
        id = "";
      } else if (line.startsWith("{")) {
        error = Optional.of(line);
      }
    }
  }

  private void handleData(String id, String data) {
    if (data.equals("[DONE]")) {
      complete = true;
    } else if (id.isEmpty()) {
      error = Optional.of(data);
    } else {
      addToken(id, data);
    }
  }

  private synchronized void addToken(String id, String data) {
    String of = id.substring(0, id.lastIndexOf(':'));
    long index = Long.parseLong(id.substring(id.lastIndexOf(':') + 1));
    if (generation.isPresent() && !generation.get().equals(of)) {
      problems.add("received a token of another generation: " + id);
    }
    if (index != nextIndex) {
      problems.add("received token " + index + " instead of " + nextIndex);
    }
    generation = Optional.of(of);
    nextIndex = index + 1;
    text.append(Json.parseObject(data).path("choices").path(0).path("text").asText());
  }

  synchronized long receivedTokens() {
    return nextIndex;
  }
}
