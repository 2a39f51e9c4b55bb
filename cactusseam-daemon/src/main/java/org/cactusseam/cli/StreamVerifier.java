package org.cactusseam.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.OptionalLong;
import org.cactusseam.model.ResultCode;

/**
 * Checks that a stream delivers every token of one generation once and in order, across resumes.
 */
final class StreamVerifier {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DONE = "[DONE]";

  // Number of ResultCode.RESUME_ELSEWHERE; the stream continues at another daemon.
  private static final int RESUME_ELSEWHERE = ResultCode.RESUME_ELSEWHERE.number();

  private Optional<String> generation = Optional.empty();
  private long nextIndex;
  private boolean finished;
  private OptionalLong statedTokens = OptionalLong.empty();

  /** What an event means for the stream. */
  sealed interface Step {}

  /**
   * A token.
   *
   * @param text text of the token
   */
  record Token(String text) implements Step {}

  /** An event without a token; the stream goes on. */
  record Other() implements Step {}

  /** The answer is complete. */
  record Complete() implements Step {}

  /** The daemon asks to resume elsewhere. */
  record Resume() implements Step {}

  /**
   * The daemon ended the stream with an error.
   *
   * @param code number of the result code
   * @param message text for people
   */
  record Refused(int code, String message) implements Step {}

  /**
   * The stream broke its promises.
   *
   * @param message what is wrong, for people
   */
  record Faulty(String message) implements Step {}

  /**
   * Checks an event.
   *
   * @param event event
   * @return what it means
   */
  Step accept(ServerSentEvents.Event event) {
    if (event.data().equals(DONE)) {
      return end();
    }
    JsonNode data;
    try {
      data = MAPPER.readTree(event.data());
    } catch (JsonProcessingException e) {
      return new Faulty("an event without JSON");
    }
    if (event.type().equals("error")) {
      return error(data.path("error"));
    }
    Optional<Faulty> fault = event.id().isEmpty() ? Optional.empty() : index(event.id());
    if (fault.isPresent()) {
      return fault.get();
    }
    finish(data);
    return event.id().isEmpty() ? new Other() : new Token(text(data));
  }

  private static Step error(JsonNode error) {
    int code = error.path("code").asInt();
    return code == RESUME_ELSEWHERE
        ? new Resume()
        : new Refused(code, error.path("message").asText());
  }

  private Optional<Faulty> index(String id) {
    int colon = id.lastIndexOf(':');
    if (colon < 1 || !id.substring(colon + 1).matches("[0-9]{1,18}")) {
      return Optional.of(new Faulty("an event with the id " + id));
    }
    String name = id.substring(0, colon);
    long index = Long.parseLong(id.substring(colon + 1));
    if (!generation.orElse(name).equals(name)) {
      return Optional.of(new Faulty("an event of another generation"));
    }
    if (index != nextIndex) {
      return Optional.of(new Faulty("index " + index + " where " + nextIndex + " was due"));
    }
    if (finished) {
      return Optional.of(new Faulty("a token after the finish reason"));
    }
    generation = Optional.of(name);
    nextIndex++;
    return Optional.empty();
  }

  private void finish(JsonNode data) {
    finished = finished || data.path("choices").path(0).path("finish_reason").isTextual();
    JsonNode tokens = data.path("usage").path("completion_tokens");
    if (tokens.isIntegralNumber()) {
      statedTokens = OptionalLong.of(tokens.asLong());
    }
  }

  private static String text(JsonNode data) {
    JsonNode choice = data.path("choices").path(0);
    return choice.path("text").isTextual()
        ? choice.path("text").asText()
        : choice.path("delta").path("content").asText();
  }

  private Step end() {
    if (!finished || statedTokens.isEmpty()) {
      return new Faulty("the end without finish reason and token count");
    }
    return statedTokens.getAsLong() == nextIndex
        ? new Complete()
        : new Faulty(nextIndex + " tokens where " + statedTokens.getAsLong() + " were stated");
  }

  /**
   * Returns the identity of the generation.
   *
   * @return identity, or empty before the first token
   */
  Optional<String> generation() {
    return generation;
  }

  /**
   * Returns the number of tokens so far.
   *
   * @return tokens
   */
  long tokens() {
    return nextIndex;
  }

  /**
   * Returns the header that resumes the stream after the last token.
   *
   * @return value of {@code Last-Event-ID}, or empty before the first token
   */
  Optional<String> lastEventId() {
    return generation.map(name -> name + ":" + (nextIndex - 1));
  }
}
