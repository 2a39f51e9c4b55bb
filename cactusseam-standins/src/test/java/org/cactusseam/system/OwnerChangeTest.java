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
 * Verifies that healthy daemons refuse no requests while the ownership of an admission shard
 * changes. All daemons are in one region, so that no shard of another region can admit the requests
 * instead.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OwnerChangeTest {

  /**
   * Time for the detection of an unresponsive owner, the waiting period of its successor and 1 s in
   * which the successor serves.
   */
  private static final Duration TAKEOVER_TIME = Duration.ofMillis(7_500);

  private static final int STREAM_COUNT = 24;
  private static final int TOKENS = 60;

  private final SystemUnderTest system = new SystemUnderTest();

  @BeforeAll
  void start() {
    system.startEngine("engine-1", "--cold-limit", "4");
    system.startPlainService("app-1");
    system.startEntryDaemon("entry-1", "ost-wien", "ost");
    system.startEntryDaemon("entry-2", "ost-graz", "ost");
    system.awaitReady("entry-1", "entry-2");
    system.declareBasics("entry-1");
    system.declareEngine("entry-1", "engine-1", "ost-wien", 4, 4);
    system.declarePlain("entry-1", "app-1", "ost-wien");
    awaitServing("entry-1");
    awaitServing("entry-2");
  }

  @AfterAll
  void stop() {
    system.close();
  }

  private void awaitServing(String entry) {
    Eventually.await(
        entry + " serves",
        Duration.ofSeconds(30),
        () ->
            wasExecuted(sendBooking(entry))
                && new ModelCall("first", 2).send(system.port(entry)).complete);
  }

  private static boolean wasExecuted(String answer) {
    return answer.matches("(?s).*\"execution\":[0-9].*");
  }

  private String sendBooking(String entry) {
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

  /**
   * Sends bookings sequentially until {@code stopped} is set. Returns the responses that were
   * refusals.
   */
  private CompletableFuture<List<String>> sendBookings(String entry, AtomicBoolean stopped) {
    return BackgroundCalls.callAsync(
        () -> {
          List<String> refused = new ArrayList<>();
          while (!stopped.get()) {
            String answer = sendBooking(entry);
            if (!wasExecuted(answer)) {
              refused.add(answer);
            }
            Eventually.pause(Duration.ofMillis(20));
          }
          return refused;
        });
  }

  /** Opens more streams than the engine may run concurrently, so that most of them are queued. */
  private List<CompletableFuture<ModelCall>> openStreams(String entry) {
    List<CompletableFuture<ModelCall>> calls = new ArrayList<>();
    for (int number = 0; number < STREAM_COUNT; number++) {
      ModelCall call = new ModelCall("stream " + number, TOKENS);
      calls.add(BackgroundCalls.callAsync(() -> call.send(system.port(entry))));
    }
    return calls;
  }

  private void assertNoneRefused(
      CompletableFuture<List<String>> bookings, List<CompletableFuture<ModelCall>> streams) {
    for (CompletableFuture<ModelCall> stream : streams) {
      ModelCall call = stream.join();
      assertThat(call.error.toString(), call.complete, is(true));
      assertThat(call.problems, is(empty()));
      assertThat(call.text.toString(), is(TokenText.fullOutput(call.prompt, call.tokens)));
    }
    assertThat(bookings.join(), is(empty()));
    assertThat(system.readNumber("engine-1", "/violations", "cold_violations"), is(0L));
  }

  /**
   * Each shard is owned by one of the two daemons, so stopping each daemon in turn covers a change
   * of owner for every shard.
   */
  @ParameterizedTest(name = "{0} receives signal {1} and restarts while {2} serves")
  @CsvSource({
    "entry-1, TERM, entry-2",
    "entry-2, TERM, entry-1",
    "entry-1, KILL, entry-2",
    "entry-2, KILL, entry-1"
  })
  void no_request_at_another_daemon_is_refused(
      String stoppedDaemon, String signal, String serving) {
    AtomicBoolean stopped = new AtomicBoolean();
    CompletableFuture<List<String>> bookings = sendBookings(serving, stopped);
    List<CompletableFuture<ModelCall>> streams = openStreams(serving);
    Eventually.pause(Duration.ofMillis(300));

    system.process(stoppedDaemon).signal(signal);
    system.process(stoppedDaemon).awaitExit(30);
    system.restart(stoppedDaemon);
    system.awaitReady(stoppedDaemon);
    awaitServing(stoppedDaemon);
    stopped.set(true);

    assertNoneRefused(bookings, streams);
  }

  /**
   * A paused daemon does not refuse connections, so its shards are taken over only after its
   * missing heartbeats are detected.
   */
  @ParameterizedTest(name = "{0} is paused while {1} serves")
  @CsvSource({"entry-1, entry-2", "entry-2, entry-1"})
  void no_request_is_refused_while_another_daemon_is_paused(String pausedDaemon, String serving) {
    system.awaitActive(serving, serving);
    system.awaitActive(pausedDaemon, serving);
    AtomicBoolean stopped = new AtomicBoolean();
    CompletableFuture<List<String>> bookings = sendBookings(serving, stopped);
    List<CompletableFuture<ModelCall>> streams = openStreams(serving);
    Eventually.pause(Duration.ofMillis(300));

    system.process(pausedDaemon).signal("STOP");
    Eventually.pause(TAKEOVER_TIME);
    system.process(pausedDaemon).signal("CONT");
    awaitServing(pausedDaemon);
    stopped.set(true);

    assertNoneRefused(bookings, streams);
  }

  @Test
  void no_request_is_refused_when_a_new_daemon_takes_shards_over() {
    AtomicBoolean stopped = new AtomicBoolean();
    List<CompletableFuture<List<String>>> bookings =
        List.of(sendBookings("entry-1", stopped), sendBookings("entry-2", stopped));
    List<List<CompletableFuture<ModelCall>>> streams =
        List.of(openStreams("entry-1"), openStreams("entry-2"));

    for (String entry : List.of("entry-3", "entry-4")) {
      system.startEntryDaemon(entry, "ost-wien", "ost");
      system.awaitReady(entry);
      awaitServing(entry);
    }
    stopped.set(true);

    assertNoneRefused(bookings.get(0), streams.get(0));
    assertNoneRefused(bookings.get(1), streams.get(1));
  }
}
