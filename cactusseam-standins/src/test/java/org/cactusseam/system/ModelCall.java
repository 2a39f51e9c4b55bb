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
 * A caller that streams one completion, checks the order of the tokens and resumes when asked to.
 */
final class ModelCall {

  final String prompt;
  final int tokens;
  final StringBuilder text = new StringBuilder();
  final List<String> problems = new ArrayList<>();
  Optional<String> generation = Optional.empty();
  Optional<String> error = Optional.empty();
  long next;
  boolean whole;
  int status;

  ModelCall(String prompt, int tokens) {
    this.prompt = prompt;
    this.tokens = tokens;
  }

  /** Sends the request and reads until the stream ends or breaks. */
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

  /** Resumes the generation and reads until the stream ends or breaks. */
  ModelCall resume(int port) {
    String id = generation.orElseThrow();
    return read(
        Http.request(port, "/v1/generations/" + id)
            .header("Last-Event-ID", id + ":" + (next - 1))
            .GET());
  }

  private ModelCall read(HttpRequest.Builder request) {
    error = Optional.empty();
    try {
      HttpResponse<Stream<String>> response =
          Http.stream(request.header("Authorization", "Bearer " + SystemUnderTest.KEY));
      status = response.statusCode();
      try (Stream<String> lines = response.body()) {
        lines(lines.iterator());
      }
    } catch (UncheckedIOException e) {
      error = Optional.of("connection: " + e.getMessage());
    }
    return this;
  }

  private void lines(Iterator<String> lines) {
    String id = "";
    while (lines.hasNext()) {
      String line = lines.next();
      if (line.startsWith("id: ")) {
        id = line.substring(4);
      } else if (line.startsWith("data: ")) {
        data(id, line.substring(6));
        id = "";
      } else if (line.startsWith("{")) {
        error = Optional.of(line);
      }
    }
  }

  private void data(String id, String data) {
    if (data.equals("[DONE]")) {
      whole = true;
    } else if (id.isEmpty()) {
      error = Optional.of(data);
    } else {
      token(id, data);
    }
  }

  private synchronized void token(String id, String data) {
    String of = id.substring(0, id.lastIndexOf(':'));
    long index = Long.parseLong(id.substring(id.lastIndexOf(':') + 1));
    if (generation.isPresent() && !generation.get().equals(of)) {
      problems.add("token of another generation: " + id);
    }
    if (index != next) {
      problems.add("token " + index + " instead of " + next);
    }
    generation = Optional.of(of);
    next = index + 1;
    text.append(Json.parseObject(data).path("choices").path(0).path("text").asText());
  }

  synchronized long received() {
    return next;
  }
}
