package org.cactusseam.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.OptionalLong;
import org.cactusseam.model.ResultCode;

/**
 * Verifies that a stream delivers every token of one generation exactly once and in order, across
 * resumes.
 */
final class StreamVerifier {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String DONE = "[DONE]";

  // Result code that asks the client to resume the stream on another daemon.
  private static final int RESUME_ELSEWHERE = ResultCode.RESUME_ELSEWHERE.number();

  private Optional<String> generation = Optional.empty();
  private long nextIndex;
  private boolean finished;
  private OptionalLong reportedTokens = OptionalLong.empty();

  /** Effect of an event on the stream. */
  sealed interface Step {}

  /**
   * The event carries a token.
   *
   * @param text text of the token
   */
  record Token(String text) implements Step {}

  /** The event carries no token; the stream continues. */
  record Other() implements Step {}

  /** The response is complete. */
  record Complete() implements Step {}

  /** The daemon asks the client to resume on another daemon. */
  record Resume() implements Step {}

  /**
   * The daemon ended the stream with an error.
   *
   * @param code number of the result code
   * @param message human-readable error message
   */
  record Refused(int code, String message) implements Step {}

  /**
   * The stream violates the protocol.
   *
   * @param message human-readable description of the violation
   */
  record Faulty(String message) implements Step {}

  /**
   * Verifies the next event of the stream.
   *
   * @param event parsed server-sent event
   * @return effect on the stream
   */
  Step accept(ServerSentEvents.Event event) {
    if (event.data().equals(DONE)) {
      return verifyEnd();
    }
    JsonNode data;
    try {
      data = MAPPER.readTree(event.data());
    } catch (JsonProcessingException e) {
      return new Faulty("event data is not JSON");
    }
    if (event.type().equals("error")) {
      return parseError(data.path("error"));
    }
    Optional<Faulty> fault = event.id().isEmpty() ? Optional.empty() : verifyId(event.id());
    if (fault.isPresent()) {
      return fault.get();
    }
    readFinish(data);
    return event.id().isEmpty() ? new Other() : new Token(readText(data));
  }

  private static Step parseError(JsonNode error) {
    int code = error.path("code").asInt();
    return code == RESUME_ELSEWHERE
        ? new Resume()
        : new Refused(code, error.path("message").asText());
  }

  private Optional<Faulty> verifyId(String id) {
    int colon = id.lastIndexOf(':');
    if (colon < 1 || !id.substring(colon + 1).matches("[0-9]{1,18}")) {
      return Optional.of(new Faulty("malformed event id " + id));
    }
    String name = id.substring(0, colon);
    long index = Long.parseLong(id.substring(colon + 1));
    if (!generation.orElse(name).equals(name)) {
      return Optional.of(new Faulty("event of another generation"));
    }
    if (index != nextIndex) {
      return Optional.of(
          new Faulty("token index " + index + " received where " + nextIndex + " was expected"));
    }
    if (finished) {
      return Optional.of(new Faulty("token after the finish reason"));
    }
    generation = Optional.of(name);
    nextIndex++;
    return Optional.empty();
  }

  private void readFinish(JsonNode data) {
    finished = finished || data.path("choices").path(0).path("finish_reason").isTextual();
    JsonNode tokens = data.path("usage").path("completion_tokens");
    if (tokens.isIntegralNumber()) {
      reportedTokens = OptionalLong.of(tokens.asLong());
    }
  }

  private static String readText(JsonNode data) {
    JsonNode choice = data.path("choices").path(0);
    return choice.path("text").isTextual()
        ? choice.path("text").asText()
        : choice.path("delta").path("content").asText();
  }

  private Step verifyEnd() {
    if (!finished || reportedTokens.isEmpty()) {
      return new Faulty("stream ended without finish reason and token count");
    }
    return reportedTokens.getAsLong() == nextIndex
        ? new Complete()
        : new Faulty(
            nextIndex
                + " tokens received, but "
                + reportedTokens.getAsLong()
                + " reported by server");
  }

  /**
   * Returns the identity of the generation.
   *
   * @return identity of the generation, or empty before the first token
   */
  Optional<String> generation() {
    return generation;
  }

  /**
   * Returns the number of tokens received so far.
   *
   * @return number of tokens
   */
  long tokens() {
    return nextIndex;
  }

  /**
   * Returns the header value that resumes the stream after the last token received.
   *
   * @return value of {@code Last-Event-ID}, or empty before the first token
   */
  Optional<String> lastEventId() {
    return generation.map(name -> name + ":" + (nextIndex - 1));
  }
}
