package org.cactusseam.edge.backend;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.cactusseam.edge.Json;
import org.cactusseam.logic.orders.OrderResponse;
import org.cactusseam.logic.orders.OrderState;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.control.ServerOrder;
import org.jspecify.annotations.Nullable;

/** Sends orders to engines and reads what engines show of them. */
public final class OrderClient {

  /** Shorter than the time after which the executor takes an answer for lost. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_SERVER_ERROR = 500;

  private final HttpClient client;

  private record Body(String order, String name, @JsonProperty("fencing_number") long number) {}

  private record InProgress(@JsonProperty(value = "fencing_number", required = true) long number) {}

  private record Report(
      String incarnation,
      @Nullable String role,
      @Nullable List<String> models,
      @Nullable List<String> adapters,
      @Nullable List<String> versions,
      @JsonProperty("orders_in_progress") @Nullable List<InProgress> inProgress,
      @JsonProperty("report_age_ms") long ageMillis) {

    OrderState stateOf(ServerOrder order, long number) {
      if (shows(order)) {
        return OrderState.DONE;
      }
      if (inProgress == null) {
        return OrderState.UNLISTED;
      }
      boolean listed = inProgress.stream().anyMatch(each -> each.number() == number);
      return listed ? OrderState.IN_PROGRESS : OrderState.ABSENT;
    }

    private boolean shows(ServerOrder order) {
      return switch (order.kind()) {
        case LOAD_MODEL -> holds(models, order);
        case LOAD_ADAPTER -> holds(adapters, order);
        case LOAD_VERSION -> holds(versions, order);
        case CHANGE_ROLE -> order.name().equals(role);
      };
    }

    private static boolean holds(@Nullable List<String> names, ServerOrder order) {
      return names != null && names.contains(order.name());
    }
  }

  /**
   * What an engine shows of an order.
   *
   * @param incarnation run of the engine
   * @param state whether it shows the result or works on it
   * @param age age of the report, as the engine states it; zero if it states none
   */
  public record Reading(String incarnation, OrderState state, Duration age) {}

  /**
   * What an engine answered to an order.
   *
   * @param answer answer
   * @param incarnation run of the engine, if it states it
   */
  public record Reply(OrderResponse answer, Optional<String> incarnation) {}

  /**
   * Creates a client.
   *
   * @param vertx event loops
   */
  public OrderClient(Vertx vertx) {
    // Without kept connections no order is lost to a connection that the engine closes when idle.
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setKeepAlive(false).setConnectTimeout((int) TIMEOUT_MILLIS));
  }

  private static RequestOptions options(BackendServer server, HttpMethod method, String path) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(server.host())
        .setPort(server.port())
        .setURI(path)
        .setTimeout(TIMEOUT_MILLIS);
  }

  /**
   * Reads whether an engine shows the result of an order or works on it.
   *
   * @param server engine
   * @param order order
   * @param fencingNumber offset of the order
   * @return what it shows; fails if it does not answer in time
   */
  public Future<Reading> read(BackendServer server, ServerOrder order, long fencingNumber) {
    return client
        .request(options(server, HttpMethod.GET, "/load"))
        .compose(HttpClientRequest::send)
        .compose(OrderClient::body)
        .map(body -> Json.read(body.toString(), Report.class).get())
        .map(
            report ->
                new Reading(
                    report.incarnation(),
                    report.stateOf(order, fencingNumber),
                    Duration.ofMillis(Math.max(0, report.ageMillis()))));
  }

  private static Future<Buffer> body(HttpClientResponse response) {
    return response.statusCode() == STATUS_OK
        ? response.body()
        : Future.failedFuture("state answered with status " + response.statusCode());
  }

  /**
   * Sends an order.
   *
   * @param server engine
   * @param order order
   * @param fencingNumber offset of the order
   * @param begin asked when the connection is open, directly before the order is written; nothing
   *     is written if it answers false
   * @return the answer, or empty if nothing was written; fails if the answer is lost
   */
  public Future<Optional<Reply>> send(
      BackendServer server, ServerOrder order, long fencingNumber, BooleanSupplier begin) {
    String kind = order.kind().name().toLowerCase(Locale.ROOT);
    Buffer body = Buffer.buffer(Json.write(new Body(kind, order.name(), fencingNumber)));
    return client
        .request(options(server, HttpMethod.POST, "/orders"))
        .compose(request -> write(request, body, begin));
  }

  private static Future<Optional<Reply>> write(
      HttpClientRequest request, Buffer body, BooleanSupplier begin) {
    if (!begin.getAsBoolean()) {
      return request.reset().transform(ignored -> Future.succeededFuture(Optional.empty()));
    }
    return request
        .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .send(body)
        .compose(OrderClient::answer);
  }

  /** An error inside the engine does not tell whether the order takes effect. */
  private static Future<Optional<Reply>> answer(HttpClientResponse response) {
    int status = response.statusCode();
    if (status == STATUS_OK) {
      return reply(response, OrderResponse.ACCEPTED);
    }
    if (status == STATUS_CONFLICT) {
      return reply(response, OrderResponse.STALE_NUMBER);
    }
    return status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR
        ? reply(response, OrderResponse.REFUSED)
        : Future.failedFuture("order answered with status " + status);
  }

  private static Future<Optional<Reply>> reply(HttpClientResponse response, OrderResponse answer) {
    Optional<String> incarnation =
        Headers.condition(response.headers()).map(BackendCondition::incarnation);
    return Future.succeededFuture(Optional.of(new Reply(answer, incarnation)));
  }
}
