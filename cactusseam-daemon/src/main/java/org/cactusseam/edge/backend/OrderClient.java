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
import org.cactusseam.edge.http.HttpClients;
import org.cactusseam.logic.orders.OrderResponse;
import org.cactusseam.logic.orders.OrderState;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.control.ServerOrder;
import org.jspecify.annotations.Nullable;

/** Sends orders to engines and reads the state of orders from engines' load reports. */
public final class OrderClient {

  /** Shorter than the time after which the order executor treats a response as lost. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private static final int STATUS_OK = 200;

  /** Maximum length of a report, which has some KB. */
  private static final int MAX_REPORT_BYTES = 1 << 20;

  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_SERVER_ERROR = 500;

  private final HttpClient client;

  private record OrderBody(
      String order, String name, @JsonProperty("fencing_number") long number) {}

  private record InProgress(@JsonProperty(value = "fencing_number", required = true) long number) {}

  private record EngineReport(
      String incarnation,
      @Nullable String role,
      @Nullable List<String> models,
      @Nullable List<String> adapters,
      @Nullable List<String> versions,
      @JsonProperty("orders_in_progress") @Nullable List<InProgress> inProgress,
      @JsonProperty("report_age_ms") long ageMillis) {

    OrderState stateOf(ServerOrder order, long number) {
      if (hasTakenEffect(order)) {
        return OrderState.DONE;
      }
      if (inProgress == null) {
        return OrderState.UNLISTED;
      }
      boolean isListed = inProgress.stream().anyMatch(each -> each.number() == number);
      return isListed ? OrderState.IN_PROGRESS : OrderState.ABSENT;
    }

    private boolean hasTakenEffect(ServerOrder order) {
      return switch (order.kind()) {
        case LOAD_MODEL -> contains(models, order);
        case LOAD_ADAPTER -> contains(adapters, order);
        case LOAD_VERSION -> contains(versions, order);
        case CHANGE_ROLE -> order.name().equals(role);
      };
    }

    private static boolean contains(@Nullable List<String> names, ServerOrder order) {
      return names != null && names.contains(order.name());
    }
  }

  /**
   * State of an order, as read from the load report of an engine.
   *
   * @param incarnation id of the run of the engine
   * @param state whether the order has taken effect or is in progress
   * @param age age of the report as stated by the engine; zero if it states none
   */
  public record ObservedState(String incarnation, OrderState state, Duration age) {}

  /**
   * Response of an engine to an order.
   *
   * @param answer whether the engine accepted the order
   * @param incarnation id of the run of the engine, empty if the response does not name it
   */
  public record Reply(OrderResponse answer, Optional<String> incarnation) {}

  /**
   * Creates a client.
   *
   * @param vertx Vert.x instance
   */
  public OrderClient(Vertx vertx) {
    // No keep-alive: an order sent on an idle connection that the engine is closing would be lost.
    this.client =
        HttpClients.create(
            vertx,
            new HttpClientOptions().setKeepAlive(false).setConnectTimeout((int) TIMEOUT_MILLIS));
  }

  private static RequestOptions requestOptions(
      BackendServer server, HttpMethod method, String path) {
    return new RequestOptions()
        .setMethod(method)
        .setHost(server.host())
        .setPort(server.port())
        .setURI(path)
        .setTimeout(TIMEOUT_MILLIS);
  }

  /**
   * Reads from an engine's load report whether an order has taken effect or is in progress.
   *
   * @param server engine that the order was sent to
   * @param order order to look for
   * @param fencingNumber fencing number of the order, which is its offset in the log
   * @return state of the order; fails if the engine does not answer within 1 s
   */
  public Future<ObservedState> read(BackendServer server, ServerOrder order, long fencingNumber) {
    return client
        .request(requestOptions(server, HttpMethod.GET, "/load"))
        .compose(HttpClientRequest::send)
        .compose(OrderClient::readBody)
        .map(body -> Json.read(body.toString(), EngineReport.class).get())
        .map(
            report ->
                new ObservedState(
                    report.incarnation(),
                    report.stateOf(order, fencingNumber),
                    Duration.ofMillis(Math.max(0, report.ageMillis()))));
  }

  private static Future<Buffer> readBody(HttpClientResponse response) {
    return response.statusCode() == STATUS_OK
        ? BoundedBody.read(response, MAX_REPORT_BYTES)
        : Future.failedFuture(
            "the engine answered the load query with status " + response.statusCode());
  }

  /**
   * Sends an order to an engine.
   *
   * @param server engine
   * @param order order
   * @param fencingNumber fencing number of the order, which is its offset in the log
   * @param maySend called when the connection is open, directly before the order is written;
   *     nothing is written if it returns false
   * @return the response, or empty if nothing was written; fails if the response is lost, so that
   *     the order may or may not take effect
   */
  public Future<Optional<Reply>> send(
      BackendServer server, ServerOrder order, long fencingNumber, BooleanSupplier maySend) {
    String kind = order.kind().name().toLowerCase(Locale.ROOT);
    Buffer body = Buffer.buffer(Json.write(new OrderBody(kind, order.name(), fencingNumber)));
    return client
        .request(requestOptions(server, HttpMethod.POST, "/orders"))
        .compose(request -> writeOrder(request, body, maySend));
  }

  private static Future<Optional<Reply>> writeOrder(
      HttpClientRequest request, Buffer body, BooleanSupplier maySend) {
    if (!maySend.getAsBoolean()) {
      return request.reset().transform(ignored -> Future.succeededFuture(Optional.empty()));
    }
    return request
        .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .send(body)
        .compose(OrderClient::interpretStatus);
  }

  /** Interprets the status. A server error does not tell whether the order takes effect. */
  private static Future<Optional<Reply>> interpretStatus(HttpClientResponse response) {
    int status = response.statusCode();
    if (status == STATUS_OK) {
      return replyWith(response, OrderResponse.ACCEPTED);
    }
    if (status == STATUS_CONFLICT) {
      return replyWith(response, OrderResponse.STALE_NUMBER);
    }
    return status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR
        ? replyWith(response, OrderResponse.REFUSED)
        : Future.failedFuture("the engine answered the order with status " + status);
  }

  private static Future<Optional<Reply>> replyWith(
      HttpClientResponse response, OrderResponse answer) {
    Optional<String> incarnation =
        Headers.condition(response.headers()).map(BackendCondition::incarnation);
    return Future.succeededFuture(Optional.of(new Reply(answer, incarnation)));
  }
}
