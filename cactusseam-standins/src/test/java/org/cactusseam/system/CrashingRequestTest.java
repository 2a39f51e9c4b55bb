package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cactusseam.standin.Json;
import org.cactusseam.standin.engine.TokenText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies that a request which crashes engines is stopped after two of them, although its caller
 * sends it again through other entry daemons.
 */
class CrashingRequestTest {

  private static final List<String> ENGINES =
      List.of("engine-1", "engine-2", "engine-3", "engine-4");
  private static final List<String> ENTRY_DAEMONS = List.of("entry-1", "entry-3", "entry-2");
  private static final int HARMLESS_REQUESTS = 6;
  private static final int HARMLESS_TOKENS = 150;
  private static final int SEND_ATTEMPTS = 8;
  private static final long MAX_CRASHES = 2;

  private final Map<String, Long> lastIncarnations = new HashMap<>();
  private final SystemUnderTest system = new SystemUnderTest();

  @BeforeEach
  void start() {
    for (String engine : ENGINES) {
      system.startEngine(
          engine, "--cold-limit", "4", "--crash-text", "poison", "--restart-ms", "1000");
    }
    system.startEntryDaemon("entry-1", "ost-wien", "ost");
    system.startEntryDaemon("entry-2", "ost-graz", "ost");
    system.startEntryDaemon("entry-3", "west-ibk", "west");
    system.awaitReady("entry-1", "entry-2", "entry-3");
    system.declareBasics("entry-1");
    system.declareEngine("entry-1", "engine-1", "ost-wien", 4, 16);
    system.declareEngine("entry-1", "engine-2", "ost-graz", 4, 16);
    system.declareEngine("entry-1", "engine-3", "west-ibk", 4, 16);
    system.declareEngine("entry-1", "engine-4", "west-ibk", 4, 16);
  }

  @AfterEach
  void stop() {
    system.close();
  }

  /**
   * Returns the sequence number of the engine's incarnation, or the last known one while the engine
   * restarts.
   */
  private long readIncarnationNumber(String engine) {
    try {
      String incarnation =
          Json.parseObject(Http.get(system.port(engine), "/load")).path("incarnation").asText();
      long incarnationNumber =
          Long.parseLong(incarnation.substring(incarnation.lastIndexOf('-') + 1));
      lastIncarnations.put(engine, incarnationNumber);
      return incarnationNumber;
    } catch (UncheckedIOException e) {
      return lastIncarnations.getOrDefault(engine, 0L);
    }
  }

  private long sumOfIncarnations() {
    return ENGINES.stream().mapToLong(this::readIncarnationNumber).sum();
  }

  private ModelCall sendUntilComplete(String prompt, int first) {
    ModelCall call = new ModelCall(prompt, HARMLESS_TOKENS);
    for (int turn = 0; !call.complete && turn < SEND_ATTEMPTS; turn++) {
      call = new ModelCall(prompt, HARMLESS_TOKENS);
      call.send(system.port(ENTRY_DAEMONS.get((first + turn) % ENTRY_DAEMONS.size())));
    }
    return call;
  }

  @Test
  void a_request_that_crashes_engines_crashes_at_most_two_and_harmless_requests_are_served() {
    long before = sumOfIncarnations();
    List<CompletableFuture<ModelCall>> harmless = new ArrayList<>();
    for (int index = 0; index < HARMLESS_REQUESTS; index++) {
      int first = index;
      harmless.add(BackgroundCalls.callAsync(() -> sendUntilComplete("harmless " + first, first)));
    }
    Eventually.pause(Duration.ofSeconds(1));
    List<String> answers = new ArrayList<>();
    for (int turn = 0; turn < SEND_ATTEMPTS; turn++) {
      ModelCall poison = new ModelCall("poison", 20);
      poison.send(system.port(ENTRY_DAEMONS.get(turn % ENTRY_DAEMONS.size())));
      answers.add(poison.error.orElse("none"));
      assertThat(answers.toString(), sumOfIncarnations() - before, lessThanOrEqualTo(MAX_CRASHES));
    }

    for (CompletableFuture<ModelCall> call : harmless) {
      ModelCall served = call.join();
      assertThat(served.error.toString(), served.complete, is(true));
      assertThat(served.problems, is(empty()));
      assertThat(served.text.toString(), is(TokenText.fullOutput(served.prompt, served.tokens)));
    }
    Eventually.pause(Duration.ofSeconds(2));
    assertThat(answers.toString(), sumOfIncarnations() - before, lessThanOrEqualTo(MAX_CRASHES));
    assertThat(answers.toString(), answers.get(SEND_ATTEMPTS - 1), containsString("\"code\":3009"));
  }
}
