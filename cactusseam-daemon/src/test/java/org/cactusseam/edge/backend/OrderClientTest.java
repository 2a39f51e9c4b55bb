package org.cactusseam.edge.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cactusseam.logic.orders.OrderResponse;
import org.cactusseam.logic.orders.OrderState;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.control.ServerOrder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against misinterpreting an engine's response to an order or its report of an order's
 * state.
 */
class OrderClientTest {

  private static final ServerOrder ORDER = new ServerOrder(ServerOrder.Kind.LOAD_ADAPTER, "a1");

  private final Vertx vertx = Vertx.vertx();
  private final OrderClient client = new OrderClient(vertx);
  private final List<String> received = new CopyOnWriteArrayList<>();

  @AfterEach
  void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static <T> T join(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }

  private BackendServer startEngine(Consumer<HttpServerRequest> handler) {
    HttpServer server = vertx.createHttpServer().requestHandler(handler::accept);
    int port = join(server.listen(0, "127.0.0.1")).actualPort();
    return new BackendServer(
        new BackendServerName("e1"),
        new PoolName("llm"),
        new FailureDomainName("ost-wien"),
        BackendKind.ENGINE,
        "127.0.0.1",
        port,
        true,
        1,
        1,
        1_000,
        ServiceState.IN);
  }

  private void recordAndRespond(HttpServerRequest request, int status) {
    request
        .body()
        .onSuccess(
            body -> {
              received.add(request.path() + " " + body);
              request.response().setStatusCode(status).end("{}");
            });
  }

  @ParameterizedTest(name = "status {0} is {1}")
  @CsvSource({"200, ACCEPTED", "409, STALE_NUMBER", "400, REFUSED", "404, REFUSED", "503, LOST"})
  void a_status_maps_to_a_response_or_to_a_lost_response(int status, String expected) {
    BackendServer engine = startEngine(request -> recordAndRespond(request, status));

    String outcome =
        join(
            client
                .send(engine, ORDER, 17, () -> true)
                .map(found -> found.map(reply -> reply.answer().name()).orElse("NOT_SENT"))
                .otherwise("LOST"));

    assertThat(outcome, is(expected));
    assertThat(
        received,
        is(List.of("/orders {\"order\":\"load_adapter\",\"name\":\"a1\",\"fencing_number\":17}")));
  }

  @Test
  void nothing_is_written_when_the_order_may_no_longer_be_sent() {
    BackendServer engine = startEngine(request -> recordAndRespond(request, 200));

    assertThat(join(client.send(engine, ORDER, 17, () -> false)), is(Optional.empty()));
    assertThat(received, is(List.of()));
  }

  @Test
  void a_response_names_the_run_of_the_engine() {
    BackendServer engine =
        startEngine(
            request -> {
              request.response().putHeader(Headers.INCARNATION, "i2");
              recordAndRespond(request, 200);
            });

    assertThat(
        join(client.send(engine, ORDER, 17, () -> true)),
        is(Optional.of(new OrderClient.Reply(OrderResponse.ACCEPTED, Optional.of("i2")))));
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = ';',
      value = {
        "LOAD_ADAPTER; \"adapters\":[\"a1\"]; DONE",
        "LOAD_ADAPTER; \"models\":[\"a1\"],\"orders_in_progress\":[]; ABSENT",
        "LOAD_ADAPTER; \"models\":[\"a1\"]; UNLISTED",
        "LOAD_ADAPTER; \"orders_in_progress\":[{\"fencing_number\":17}]; IN_PROGRESS",
        "LOAD_ADAPTER; \"orders_in_progress\":[{\"fencing_number\":16}]; ABSENT",
        "LOAD_MODEL; \"models\":[\"a1\"]; DONE",
        "LOAD_VERSION; \"versions\":[\"a1\"]; DONE",
        "CHANGE_ROLE; \"role\":\"a1\"; DONE",
        "CHANGE_ROLE; \"orders_in_progress\":[]; ABSENT"
      })
  void a_load_report_shows_whether_an_order_took_effect(
      ServerOrder.Kind kind, String members, OrderState expected) {
    String report = "{\"incarnation\":\"i1\"," + members + "}";
    BackendServer engine = startEngine(request -> request.response().end(report));

    OrderClient.ObservedState observed = join(client.read(engine, new ServerOrder(kind, "a1"), 17));

    assertThat(observed, is(new OrderClient.ObservedState("i1", expected, Duration.ZERO)));
  }

  @ParameterizedTest(name = "stated age {0} ms")
  @CsvSource({"0, 0", "1500, 1500", "-1, 0"})
  void the_stated_age_of_a_report_is_returned_and_never_negative(long stated, long expected) {
    String report = "{\"incarnation\":\"i1\",\"report_age_ms\":" + stated + "}";
    BackendServer engine = startEngine(request -> request.response().end(report));

    assertThat(join(client.read(engine, ORDER, 17)).age(), is(Duration.ofMillis(expected)));
  }
}
