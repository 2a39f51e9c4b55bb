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
 * Guards against a request that crashes one engine after the other because its caller sends it
 * again through other entry daemons.
 */
class CrashingRequestTest {

  private static final List<String> ENGINES =
      List.of("engine-1", "engine-2", "engine-3", "engine-4");
  private static final List<String> ENTRIES = List.of("entry-1", "entry-3", "entry-2");
  private static final int HARMLESS = 6;
  private static final int HARMLESS_TOKENS = 150;
  private static final int RESENDS = 8;
  private static final long MOST_CRASHES = 2;

  private final Map<String, Long> runs = new HashMap<>();
  private final SystemUnderTest system = new SystemUnderTest();

  @BeforeEach
  void start() {
    for (String engine : ENGINES) {
      system.engine(engine, "--cold-limit", "4", "--crash-text", "poison", "--restart-ms", "1000");
    }
    system.entry("entry-1", "ost-wien", "ost");
    system.entry("entry-2", "ost-graz", "ost");
    system.entry("entry-3", "west-ibk", "west");
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

  /** Returns the number of the engine's run; an engine that restarts keeps the last known one. */
  private long run(String engine) {
    try {
      String incarnation =
          Json.parseObject(Http.get(system.port(engine), "/load")).path("incarnation").asText();
      long run = Long.parseLong(incarnation.substring(incarnation.lastIndexOf('-') + 1));
      runs.put(engine, run);
      return run;
    } catch (UncheckedIOException e) {
      return runs.getOrDefault(engine, 0L);
    }
  }

  private long sumOfRuns() {
    return ENGINES.stream().mapToLong(this::run).sum();
  }

  private ModelCall sendUntilWhole(String prompt, int first) {
    ModelCall call = new ModelCall(prompt, HARMLESS_TOKENS);
    for (int turn = 0; !call.whole && turn < RESENDS; turn++) {
      call = new ModelCall(prompt, HARMLESS_TOKENS);
      call.send(system.port(ENTRIES.get((first + turn) % ENTRIES.size())));
    }
    return call;
  }

  @Test
  void a_request_that_crashes_engines_takes_two_with_it_and_harmless_ones_are_served() {
    long before = sumOfRuns();
    List<CompletableFuture<ModelCall>> harmless = new ArrayList<>();
    for (int index = 0; index < HARMLESS; index++) {
      int first = index;
      harmless.add(BackgroundCalls.call(() -> sendUntilWhole("harmless " + first, first)));
    }
    Eventually.pause(Duration.ofSeconds(1));
    List<String> answers = new ArrayList<>();
    for (int turn = 0; turn < RESENDS; turn++) {
      ModelCall poison = new ModelCall("poison", 20);
      poison.send(system.port(ENTRIES.get(turn % ENTRIES.size())));
      answers.add(poison.error.orElse("none"));
      assertThat(answers.toString(), sumOfRuns() - before, lessThanOrEqualTo(MOST_CRASHES));
    }

    for (CompletableFuture<ModelCall> call : harmless) {
      ModelCall served = call.join();
      assertThat(served.error.toString(), served.whole, is(true));
      assertThat(served.problems, is(empty()));
      assertThat(served.text.toString(), is(TokenText.whole(served.prompt, served.tokens)));
    }
    Eventually.pause(Duration.ofSeconds(2));
    assertThat(answers.toString(), sumOfRuns() - before, lessThanOrEqualTo(MOST_CRASHES));
    assertThat(answers.toString(), answers.get(RESENDS - 1), containsString("\"code\":3009"));
  }
}
