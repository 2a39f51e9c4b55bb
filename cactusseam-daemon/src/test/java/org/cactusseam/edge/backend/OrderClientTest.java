package org.cactusseam.edge.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cactusseam.logic.orders.OrderAnswer;
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

/** Guards against answers of engines that are taken for something else. */
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

  private BackendServer engine(Consumer<HttpServerRequest> handler) {
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

  private void record(HttpServerRequest request, int status) {
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
  void a_status_of_an_engine_is_an_answer_or_a_lost_answer(int status, String expected) {
    BackendServer engine = engine(request -> record(request, status));

    String answer =
        join(
            client
                .send(engine, ORDER, 17, () -> true)
                .map(found -> found.map(OrderAnswer::name).orElse("NOT_SENT"))
                .otherwise("LOST"));

    assertThat(answer, is(expected));
    assertThat(
        received,
        is(List.of("/orders {\"order\":\"load_adapter\",\"name\":\"a1\",\"fencing_number\":17}")));
  }

  @Test
  void nothing_is_written_when_the_right_to_send_is_over() {
    BackendServer engine = engine(request -> record(request, 200));

    assertThat(join(client.send(engine, ORDER, 17, () -> false)), is(Optional.empty()));
    assertThat(received, is(List.of()));
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = ';',
      value = {
        "LOAD_ADAPTER; {\"incarnation\":\"i1\",\"adapters\":[\"a1\"]}; DONE",
        "LOAD_ADAPTER; {\"incarnation\":\"i1\",\"models\":[\"a1\"]}; ABSENT",
        "LOAD_MODEL; {\"incarnation\":\"i1\",\"models\":[\"a1\"]}; DONE",
        "LOAD_VERSION; {\"incarnation\":\"i1\",\"versions\":[\"a1\"]}; DONE",
        "CHANGE_ROLE; {\"incarnation\":\"i1\",\"role\":\"a1\"}; DONE",
        "CHANGE_ROLE; {\"incarnation\":\"i1\"}; ABSENT"
      })
  void the_state_of_an_engine_shows_whether_an_order_took_effect(
      ServerOrder.Kind kind, String report, OrderState expected) {
    BackendServer engine = engine(request -> request.response().end(report));

    OrderClient.Reading reading = join(client.read(engine, new ServerOrder(kind, "a1")));

    assertThat(reading, is(new OrderClient.Reading("i1", expected)));
  }
}
