package org.cactusseam.cli;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.edge.http.HttpClients;

/** Client that sends operator commands to a daemon. */
final class OperatorClient implements AutoCloseable {

  private static final String PATH = "/operator/commands";

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient http;
  private final List<URI> servers;
  private final String key;
  private final Duration timeout;

  /** Outcome of sending a command. */
  sealed interface Outcome {}

  /**
   * The daemon responded.
   *
   * @param answer response of the daemon
   */
  record Answered(OperatorAnswer answer) implements Outcome {}

  /**
   * No valid response was received.
   *
   * @param reason human-readable reason
   * @param sent whether the command may have reached the daemon
   */
  record Unanswered(String reason, boolean sent) implements Outcome {}

  OperatorClient(HttpClientOptions options, List<URI> servers, String key, Duration timeout) {
    this.http = HttpClients.create(vertx, options);
    this.servers = List.copyOf(servers);
    this.key = key;
    this.timeout = timeout;
  }

  /**
   * Sends a command and waits for the response. Fails over to the next daemon only if the command
   * has certainly not been sent; otherwise the caller decides whether to resend it under the same
   * identity.
   *
   * @param command text of the command
   * @param commandId identity of the command, which makes it idempotent
   * @param format format of a table in the response
   * @return response, or why there is none
   */
  Outcome send(String command, String commandId, OperatorAnswer.Format format) {
    String body =
        new JsonObject()
            .put("command", command)
            .put("command_id", commandId)
            .put("format", format.name().toLowerCase(Locale.ROOT))
            .encode();
    Outcome outcome = new Unanswered("no server", false);
    for (URI server : servers) {
      outcome = send(server, body);
      if (!(outcome instanceof Unanswered unanswered) || unanswered.sent()) {
        return outcome;
      }
    }
    return outcome;
  }

  private Outcome send(URI server, String body) {
    boolean[] sent = {false};
    Future<Outcome> outcome =
        http.request(Urls.request(server, HttpMethod.POST, PATH, key))
            .compose(
                request -> {
                  sent[0] = true;
                  return request.putHeader("Content-Type", "application/json").send(body);
                })
            .compose(OperatorClient::read);
    return await(outcome, sent);
  }

  private static Future<Outcome> read(HttpClientResponse response) {
    return response
        .body()
        .map(
            body ->
                OperatorAnswer.parse(body.toString())
                    .<Outcome>map(Answered::new)
                    .orElseGet(
                        () ->
                            new Unanswered(
                                "HTTP status "
                                    + response.statusCode()
                                    + " without a valid cactusseam response",
                                true)));
  }

  private Outcome await(Future<Outcome> outcome, boolean[] sent) {
    try {
      return outcome
          .toCompletionStage()
          .toCompletableFuture()
          .get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      return new Unanswered(String.valueOf(e.getCause()), sent[0]);
    } catch (TimeoutException e) {
      return new Unanswered("no response within " + timeout.toMillis() + " ms", sent[0]);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Unanswered("interrupted", sent[0]);
    }
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
