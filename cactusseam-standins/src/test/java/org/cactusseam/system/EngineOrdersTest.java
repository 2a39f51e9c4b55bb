package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.UUID;
import org.cactusseam.logic.orders.OrderView;
import org.cactusseam.standin.Json;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies across processes and faults that an order to an engine is neither lost nor executed
 * twice.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineOrdersTest {

  private static final Duration DONE_TIMEOUT = Duration.ofSeconds(60);

  /**
   * Longer than an owner waits before it may resend an order to an engine that ignores fencing
   * numbers.
   */
  private static final Duration RESEND_PERIOD = Duration.ofSeconds(10);

  private final SystemUnderTest system = new SystemUnderTest();

  @BeforeAll
  void start() {
    system.startEngine("checked", "--order-ms", "1500");
    system.startEngine("ignored", "--order-ms", "1500", "--ignore-fencing", "true");
    system.startEngine("slow", "--order-ms", "8000", "--ignore-fencing", "true");
    system.startPlainService("app-1");
    system.startEntryDaemon("entry-1", "ost-wien", "ost");
    system.startEntryDaemon("entry-2", "ost-graz", "ost");
    system.awaitReady("entry-1", "entry-2");
    system.declareBasics("entry-1");
    system.declareEngine("entry-1", "checked", "ost-wien", "checked", 2, 8);
    system.declareEngine("entry-1", "ignored", "ost-graz", "ignored", 2, 8);
    system.declareEngine("entry-1", "slow", "ost-graz", "ignored", 2, 8);
    system.declarePlain("entry-1", "app-1", "ost-wien");
  }

  @AfterAll
  void stop() {
    system.close();
  }

  private long countAppliedOrders(String engine) {
    return Json.parseObject(Http.get(system.port(engine), "/load")).path("orders_applied").asLong();
  }

  private void awaitState(String entry, String commandId, String state) {
    Eventually.await(
        commandId + " is " + state,
        DONE_TIMEOUT,
        () -> system.runCommand(entry, "show command " + commandId).contains(": " + state));
  }

  private String findOwner() {
    return system
        .runCommand("entry-1", "show shards")
        .lines()
        .filter(line -> line.contains("checked"))
        .map(line -> line.trim().split("\\s+")[1])
        .findFirst()
        .orElseThrow();
  }

  @ParameterizedTest(name = "engine with fencing {0}")
  @ValueSource(strings = {"checked", "ignored"})
  void an_order_runs_once_although_the_engine_loses_the_answer(String engine) {
    long before = countAppliedOrders(engine);
    String id = UUID.randomUUID().toString();
    system.setFaults(engine, "{\"lose_order_answers\":1}");

    String answer =
        system.runCommand("entry-1", "load model \"lost-answer\" on server " + engine, id);

    assertThat(answer, startsWith("ACCEPTED"));
    awaitState("entry-2", id, "done");
    assertThat(system.runCommand("entry-2", "show orders"), containsString(id));
    Eventually.pause(RESEND_PERIOD);
    assertThat(countAppliedOrders(engine), is(before + 1));
  }

  /** The engine takes longer to execute the order than an owner waits before it may resend it. */
  @ParameterizedTest(name = "reports of the engine are {0} ms old")
  @ValueSource(longs = {0, 3_000})
  void an_order_in_progress_is_not_sent_again_after_a_lost_answer(long lagMillis) {
    long before = countAppliedOrders("slow");
    String id = UUID.randomUUID().toString();
    system.setFaults("slow", "{\"lose_order_answers\":1,\"load_lag_ms\":" + lagMillis + "}");

    String command = "load version \"age-" + lagMillis + "\" on server slow";
    assertThat(system.runCommand("entry-1", command, id), startsWith("ACCEPTED"));
    awaitState("entry-2", id, "done");
    Eventually.pause(RESEND_PERIOD);
    system.setFaults("slow", "{\"load_lag_ms\":0}");
    assertThat(countAppliedOrders("slow"), is(before + 1));
  }

  @ParameterizedTest(name = "engine with fencing {0}, owner killed when the order is {1}")
  @CsvSource({"checked, recorded", "checked, started", "ignored, recorded", "ignored, started"})
  void an_order_runs_once_although_its_owner_is_killed(String engine, String state) {
    long before = countAppliedOrders(engine);
    String owner = findOwner();
    String other = owner.equals("entry-1") ? "entry-2" : "entry-1";
    String id = UUID.randomUUID().toString();
    system.setFaults(engine, "{\"lose_order_answers\":1}");

    String answer =
        system.runCommand(other, "load adapter \"" + state + "\" on server " + engine, id);
    assertThat(answer, startsWith("ACCEPTED"));
    if (state.equals("started")) {
      awaitState(other, id, state);
    }
    system.process(owner).kill();

    try {
      awaitState(other, id, "done");
      Eventually.pause(RESEND_PERIOD);
      assertThat(countAppliedOrders(engine), is(before + 1));
    } finally {
      system.setFaults(engine, "{\"lose_order_answers\":0}");
      system.restart(owner);
      system.awaitReady(owner);
    }
  }

  @ParameterizedTest(name = "{0}")
  @ValueSource(
      strings = {
        "load model \"m\" on server nowhere",
        "change role of server app-1 to \"prefill\"",
        "load model \" \" on server checked"
      })
  void an_order_that_no_engine_can_carry_out_is_refused(String command) {
    assertThat(system.runCommand("entry-1", command), startsWith("INVALID_COMMAND"));
  }

  @Test
  void orders_to_a_removed_server_end_and_a_running_one_shows_its_result() {
    system.startEngine("leaving", "--order-ms", "6000");
    system.awaitReady("entry-1");
    system.declareEngine("entry-1", "leaving", "ost-wien", "checked", 2, 8);
    String running = UUID.randomUUID().toString();
    String waiting = UUID.randomUUID().toString();
    system.runCommand("entry-1", "load model \"running\" on server leaving", running);
    system.runCommand("entry-1", "load model \"waiting\" on server leaving", waiting);
    Eventually.await(
        "engine shows the order as in progress",
        DONE_TIMEOUT,
        () -> Http.get(system.port("leaving"), "/load").contains("\"name\":\"running\""));

    system.runAcceptedCommand("entry-2", "remove server leaving");

    awaitState("entry-2", waiting, "server_removed");
    awaitState("entry-2", running, "done");
    assertThat(countAppliedOrders("leaving"), is(1L));
  }

  @Test
  void an_order_that_is_no_longer_kept_is_not_shown_as_a_configuration_change() {
    String id = UUID.randomUUID().toString();
    system.runCommand("entry-1", "load adapter \"early\" on server checked", id);
    awaitState("entry-1", id, "done");
    for (int number = 0; number < OrderView.MAXIMUM_ENTRIES; number++) {
      long order = appendOrder("later-" + number);
      append("{\"type\":\"order_ended\",\"order\":" + order + ",\"outcome\":\"DONE\"}");
    }

    awaitState("entry-2", "later-" + (OrderView.MAXIMUM_ENTRIES - 1), "done");
    assertThat(
        system.runCommand("entry-2", "show command " + id),
        containsString("over and no longer kept"));
  }

  private long appendOrder(String id) {
    String order =
        """
        {"type":"order","commandId":"%s","server":"checked","operator":"tester",\
        "order":{"kind":"LOAD_ADAPTER","name":"early"}}""";
    return append(order.formatted(id));
  }

  private long append(String controlRecord) {
    var request = Http.request(system.logPort, "/streams/control/records");
    var body = HttpRequest.BodyPublishers.ofString(controlRecord);
    return Json.parseObject(Http.send(request.POST(body)).body()).path("offset").asLong();
  }

  @Test
  void a_repeated_command_is_one_order() {
    long before = countAppliedOrders("ignored");
    String id = UUID.randomUUID().toString();
    String command = "change role of server ignored to \"prefill\"";

    assertThat(system.runCommand("entry-1", command, id), startsWith("ACCEPTED"));
    assertThat(system.runCommand("entry-2", command, id), startsWith("ACCEPTED"));

    awaitState("entry-1", id, "done");
    assertThat(countAppliedOrders("ignored"), is(before + 1));
  }
}
