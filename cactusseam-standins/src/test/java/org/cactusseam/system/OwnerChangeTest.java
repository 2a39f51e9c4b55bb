package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cactusseam.standin.engine.TokenText;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusals of requests at healthy daemons while the owner of an admission shard
 * changes. All daemons are in one region, so that no other shard can take the requests.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OwnerChangeTest {

  /** Detection of a silent owner, the wait of its successor and 1 s of service after it. */
  private static final Duration TAKEOVER = Duration.ofMillis(7_500);

  private static final int QUEUED = 24;
  private static final int TOKENS = 60;

  private final SystemUnderTest system = new SystemUnderTest();

  @BeforeAll
  void start() {
    system.engine("engine-1", "--cold-limit", "4");
    system.plainService("app-1");
    system.entry("entry-1", "ost-wien", "ost");
    system.entry("entry-2", "ost-graz", "ost");
    system.awaitReady("entry-1", "entry-2");
    system.declareBasics("entry-1");
    system.declareEngine("entry-1", "engine-1", "ost-wien", 4, 4);
    system.declarePlain("entry-1", "app-1", "ost-wien");
    awaitServed("entry-1");
    awaitServed("entry-2");
  }

  @AfterAll
  void stop() {
    system.close();
  }

  private void awaitServed(String entry) {
    Eventually.await(
        entry + " serves",
        Duration.ofSeconds(30),
        () -> hasRun(book(entry)) && new ModelCall("first", 2).send(system.port(entry)).whole);
  }

  private static boolean hasRun(String answer) {
    return answer.matches("(?s).*\"execution\":[0-9].*");
  }

  private String book(String entry) {
    long time = System.currentTimeMillis() << 16;
    UUID random = UUID.randomUUID();
    long high = time | 0x7000 | (random.getMostSignificantBits() & 0xfff);
    UUID key = new UUID(high, random.getLeastSignificantBits());
    return Http.send(
            Http.request(system.port(entry), "/confirmations")
                .header("Authorization", "Bearer " + SystemUnderTest.KEY)
                .header("Idempotency-Key", key.toString())
                .POST(HttpRequest.BodyPublishers.ofString("{}")))
        .body();
  }

  /** Sends bookings one after the other until told to stop; returns the answers of refusals. */
  private CompletableFuture<List<String>> bookings(String entry, AtomicBoolean stopped) {
    return BackgroundCalls.call(
        () -> {
          List<String> refused = new ArrayList<>();
          while (!stopped.get()) {
            String answer = book(entry);
            if (!hasRun(answer)) {
              refused.add(answer);
            }
            Eventually.pause(Duration.ofMillis(20));
          }
          return refused;
        });
  }

  /** Sends more streams than the engine may run at once, so that most of them wait in a queue. */
  private List<CompletableFuture<ModelCall>> streams(String entry) {
    List<CompletableFuture<ModelCall>> calls = new ArrayList<>();
    for (int number = 0; number < QUEUED; number++) {
      ModelCall call = new ModelCall("stream " + number, TOKENS);
      calls.add(BackgroundCalls.call(() -> call.send(system.port(entry))));
    }
    return calls;
  }

  private void assertNoneRefused(
      CompletableFuture<List<String>> bookings, List<CompletableFuture<ModelCall>> streams) {
    for (CompletableFuture<ModelCall> stream : streams) {
      ModelCall call = stream.join();
      assertThat(call.error.toString(), call.whole, is(true));
      assertThat(call.problems, is(empty()));
      assertThat(call.text.toString(), is(TokenText.whole(call.prompt, call.tokens)));
    }
    assertThat(bookings.join(), is(empty()));
    assertThat(system.number("engine-1", "/violations", "cold_violations"), is(0L));
  }

  /** One of the two daemons owns each shard, so that both turns cover a change of its owner. */
  @ParameterizedTest(name = "{0} gets signal {1} and comes back while {2} serves")
  @CsvSource({
    "entry-1, TERM, entry-2",
    "entry-2, TERM, entry-1",
    "entry-1, KILL, entry-2",
    "entry-2, KILL, entry-1"
  })
  void no_request_at_another_daemon_is_refused(String gone, String signal, String serving) {
    AtomicBoolean stopped = new AtomicBoolean();
    CompletableFuture<List<String>> bookings = bookings(serving, stopped);
    List<CompletableFuture<ModelCall>> streams = streams(serving);
    Eventually.pause(Duration.ofMillis(300));

    system.process(gone).signal(signal);
    system.process(gone).awaitExit(30);
    system.restart(gone);
    system.awaitReady(gone);
    awaitServed(gone);
    stopped.set(true);

    assertNoneRefused(bookings, streams);
  }

  /**
   * A paused daemon refuses no connection, so its shards move only after its silence was noticed.
   */
  @ParameterizedTest(name = "{0} is paused while {1} serves")
  @CsvSource({"entry-1, entry-2", "entry-2, entry-1"})
  void no_request_is_refused_while_another_daemon_is_paused(String paused, String serving) {
    system.awaitActive(serving, serving);
    system.awaitActive(paused, serving);
    AtomicBoolean stopped = new AtomicBoolean();
    CompletableFuture<List<String>> bookings = bookings(serving, stopped);
    List<CompletableFuture<ModelCall>> streams = streams(serving);
    Eventually.pause(Duration.ofMillis(300));

    system.process(paused).signal("STOP");
    Eventually.pause(TAKEOVER);
    system.process(paused).signal("CONT");
    awaitServed(paused);
    stopped.set(true);

    assertNoneRefused(bookings, streams);
  }

  @Test
  void no_request_is_refused_when_a_new_daemon_takes_shards_over() {
    AtomicBoolean stopped = new AtomicBoolean();
    List<CompletableFuture<List<String>>> bookings =
        List.of(bookings("entry-1", stopped), bookings("entry-2", stopped));
    List<List<CompletableFuture<ModelCall>>> streams =
        List.of(streams("entry-1"), streams("entry-2"));

    for (String entry : List.of("entry-3", "entry-4")) {
      system.entry(entry, "ost-wien", "ost");
      system.awaitReady(entry);
      awaitServed(entry);
    }
    stopped.set(true);

    assertNoneRefused(bookings.get(0), streams.get(0));
    assertNoneRefused(bookings.get(1), streams.get(1));
  }
}
