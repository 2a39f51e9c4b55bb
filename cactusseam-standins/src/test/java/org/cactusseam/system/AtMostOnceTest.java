package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cactusseam.standin.Json;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies across processes and faults that a request which must not be repeated is executed at
 * most once.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AtMostOnceTest {

  private final SystemUnderTest system = new SystemUnderTest();

  @BeforeAll
  void start() {
    system.startPlainService("app-1");
    system.startPlainService("app-2");
    system.startEntryDaemon("entry-1", "ost-wien", "ost");
    system.startEntryDaemon("entry-2", "ost-graz", "ost");
    system.awaitReady("entry-1", "entry-2");
    system.declareBasics("entry-1");
    system.declarePlain("entry-1", "app-1", "ost-wien");
    system.declarePlain("entry-1", "app-2", "ost-graz");
  }

  /**
   * Requests are refused as "not run" while the owner of a shard changes, so each case starts only
   * when both daemons serve.
   */
  @BeforeEach
  void awaitServing() {
    for (String entry : List.of("entry-1", "entry-2")) {
      Eventually.await(
          entry + " serves",
          Duration.ofSeconds(30),
          () -> wasExecuted(send(entry, newKey(), "{}")));
    }
  }

  /**
   * Returns whether the service executed the request. Its response contains the sequence number of
   * the execution, a refusal contains a text instead.
   */
  private static boolean wasExecuted(String answer) {
    return answer.matches("(?s).*\"execution\":[0-9].*");
  }

  @AfterAll
  void stop() {
    system.close();
  }

  private static String newKey() {
    long time = System.currentTimeMillis() << 16;
    UUID random = UUID.randomUUID();
    return new UUID(
            time | 0x7000 | (random.getMostSignificantBits() & 0xfff),
            random.getLeastSignificantBits())
        .toString();
  }

  private String send(String entry, String key, String body) {
    return Http.send(
            Http.request(system.port(entry), "/confirmations")
                .header("Authorization", "Bearer " + SystemUnderTest.KEY)
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString(body)))
        .body();
  }

  private long executions(String key) {
    long sum = 0;
    for (String service : List.of("app-1", "app-2")) {
      sum +=
          Json.parseObject(Http.get(system.adminPorts.get(service), "/executions"))
              .path("executions")
              .path(key)
              .asLong();
    }
    return sum;
  }

  @Test
  void the_same_key_at_two_daemons_at_once_runs_once_and_all_callers_get_a_correct_answer() {
    for (int round = 0; round < 10; round++) {
      String key = newKey();
      List<CompletableFuture<String>> answers = new ArrayList<>();
      for (String entry : List.of("entry-1", "entry-2", "entry-1", "entry-2")) {
        answers.add(BackgroundCalls.callAsync(() -> send(entry, key, "{}")));
      }

      for (CompletableFuture<String> answer : answers) {
        assertThat(
            answer.join(),
            anyOf(containsString("\"execution\":"), containsString("\"code\":4003")));
      }
      assertThat(executions(key), is(1L));
    }
  }

  @Test
  void a_repeat_gets_the_stored_answer_at_every_daemon() {
    String key = newKey();

    String first = send("entry-1", key, "{}");

    assertThat(send("entry-2", key, "{}"), is(first));
    assertThat(send("entry-1", key, "{}"), is(first));
    assertThat(send("entry-2", key, "{\"other\":1}"), containsString("\"code\":2009"));
    assertThat(executions(key), is(1L));
  }

  @ParameterizedTest(name = "key {0}")
  @CsvSource({
    "'', 2005",
    "no-uuid, 2005",
    "3fa85f64-5717-4562-b3fc-2c963f66afa6, 2005",
    "017f22e2-79b0-7cc3-98c4-dc0c0c07398f, 2006"
  })
  void a_request_without_a_usable_key_is_refused(String key, int code) {
    String answer = key.isEmpty() ? sendWithoutKey() : send("entry-1", key, "{}");

    assertThat(answer, containsString("\"code\":" + code));
  }

  private String sendWithoutKey() {
    return Http.send(
            Http.request(system.port("entry-1"), "/confirmations")
                .header("Authorization", "Bearer " + SystemUnderTest.KEY)
                .POST(HttpRequest.BodyPublishers.ofString("{}")))
        .body();
  }

  @ParameterizedTest(name = "log fault {0}")
  @CsvSource(
      delimiter = ';',
      value = {
        "{\"outage\":true}",
        "{\"lose_append_answers\":2}",
        "{\"fail_appends\":1}",
        "{\"late_appends\":1,\"late_append_ms\":1500}",
        "{\"slow_ms\":300}"
      })
  void a_request_runs_at_most_once_and_a_refusal_is_true_when_the_log_fails(String fault) {
    String key = newKey();
    system.setFaults("log", fault);
    String first = send("entry-1", key, "{}");
    long before = executions(key);
    system.setFaults(
        "log",
        "{\"outage\":false,\"lose_append_answers\":0,\"fail_appends\":0,\"late_appends\":0,\"slow_ms\":0}");

    if (first.contains("\"execution\":\"not_run\"")) {
      Eventually.pause(Duration.ofSeconds(2));
      assertThat(executions(key), is(0L));
    }
    String second = send("entry-2", key, "{}");

    assertThat(first, before, lessThanOrEqualTo(1L));
    assertThat(first + " then " + second, executions(key), lessThanOrEqualTo(1L));
  }

  @ParameterizedTest(name = "service fault {0}")
  @CsvSource(
      delimiter = ';',
      value = {
        "{\"lose_answers\":1}; 1",
        "{\"crash_after_executions\":1}; 1",
        "{\"crash_before_executions\":1}; 0"
      })
  void a_lost_answer_of_the_service_is_not_followed_by_a_second_run(String fault, long runs) {
    String key = newKey();
    system.setFaults("app-1", fault);
    system.setFaults("app-2", fault);

    String first = send("entry-1", key, "{}");
    String second = send("entry-2", key, "{}");

    assertThat(first, containsString("may_have_run"));
    assertThat(second, containsString("may_have_run"));
    assertThat(executions(key), is(runs));
    for (String service : List.of("app-1", "app-2")) {
      Http.send(Http.request(system.adminPorts.get(service), "/faults").DELETE());
    }
    Eventually.await(
        "services are back",
        Duration.ofSeconds(15),
        () -> wasExecuted(send("entry-1", newKey(), "{}")));
  }

  @Test
  void a_request_runs_at_most_once_when_its_vm_is_killed() {
    for (int delay : List.of(0, 10, 30, 60, 120)) {
      String key = newKey();
      system.setFaults("app-1", "{\"slow_ms\":100}");
      system.setFaults("app-2", "{\"slow_ms\":100}");
      CompletableFuture<String> first =
          BackgroundCalls.callAsync(() -> send("entry-2", key, "{}"))
              .exceptionally(cause -> "lost");
      Eventually.pause(Duration.ofMillis(delay));
      system.process("entry-2").kill();

      Eventually.await(
          "a final answer",
          Duration.ofSeconds(30),
          () -> {
            String answer = send("entry-1", key, "{}");
            return !answer.contains("not_run") && !answer.contains("\"code\":4003");
          });

      first.join();
      assertThat(executions(key), lessThanOrEqualTo(1L));
      system.setFaults("app-1", "{\"slow_ms\":0}");
      system.setFaults("app-2", "{\"slow_ms\":0}");
      system.restart("entry-2");
      system.awaitReady("entry-2");
    }
  }
}
