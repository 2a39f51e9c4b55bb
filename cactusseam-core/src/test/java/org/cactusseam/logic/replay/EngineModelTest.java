package org.cactusseam.logic.replay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cactusseam.logic.replay.EngineEvent.FinishReason;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an engine model whose timing, memory accounting, preemption, cold phases or
 * crashes are wrong, because policies are tuned on it.
 */
class EngineModelTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final StepTimes TIMES =
      new StepTimes(Duration.ofMillis(10), Duration.ofMillis(1), Duration.ofMillis(2), 0);
  private static final Duration RESTART = Duration.ofSeconds(5);

  private static EngineModel engine(int batch, long memory, ColdStart cold) {
    EngineSettings settings = new EngineSettings(batch, 100, memory, 4, 3, TIMES, cold, RESTART);
    return new EngineModel(settings, new SplittableRandom(1), START);
  }

  private static Instant at(long millis) {
    return START.plusMillis(millis);
  }

  private static List<String> runToEnd(EngineModel engine) {
    while (engine.nextEvent().isPresent()) {
      engine.advanceTo(engine.nextEvent().get());
    }
    return engine.drain().stream().map(EngineModelTest::describe).toList();
  }

  private static String describe(EngineEvent event) {
    long millis = Duration.between(START, event.at()).toMillis();
    return millis
        + switch (event) {
          case EngineEvent.Batched batched -> " batched " + batched.id();
          case EngineEvent.Token token -> " token " + token.id() + token.index();
          case EngineEvent.Preempted preempted -> " preempted " + preempted.id();
          case EngineEvent.Finished finished -> " finished " + finished.id();
          case EngineEvent.Crashed crashed -> " crashed " + crashed.lost();
          case EngineEvent.Restarted restarted -> " restarted " + restarted.incarnation();
          case EngineEvent.PrefixStored stored -> " stored " + stored.block();
          case EngineEvent.PrefixEvicted evicted -> " evicted " + evicted.block();
        };
  }

  @ParameterizedTest(name = "{0} requests with a prompt of {1}: first {2} ms, then {3} ms")
  @CsvSource({"1, 1, 13, 11", "2, 1, 13, 12", "1, 10, 31, 11", "1, 150, 322, 11"})
  void a_step_takes_longer_with_batch_size_and_prefill(
      int requests, int prompt, long first, long next) {
    EngineModel engine = engine(8, 1000, ColdStart.none(1));
    engine.submit(EngineRequest.of("r", 0, prompt, 3), START);
    for (int other = 1; other < requests; other++) {
      engine.submit(EngineRequest.of("other" + other, 0, 1, 50), START);
    }

    List<Instant> tokens =
        runTokens(engine).stream()
            .filter(t -> t.id().equals("r"))
            .map(EngineEvent.Token::at)
            .toList();

    assertThat(tokens.get(0), is(at(first)));
    assertThat(Duration.between(tokens.get(1), tokens.get(2)).toMillis(), is(next));
  }

  private static List<EngineEvent.Token> runTokens(EngineModel engine) {
    engine.advanceTo(at(Duration.ofHours(1).toMillis()));
    return engine.drain().stream()
        .filter(EngineEvent.Token.class::isInstance)
        .map(EngineEvent.Token.class::cast)
        .toList();
  }

  @Test
  void full_memory_preempts_the_latest_request_which_repeats_no_token() {
    EngineModel engine = engine(8, 10, ColdStart.none(1));
    engine.submit(EngineRequest.of("a", 0, 3, 4), START);
    engine.submit(EngineRequest.of("b", 0, 2, 4), START);

    assertThat(
        runToEnd(engine),
        contains(
            "0 batched a",
            "17 token a0",
            "17 batched b",
            "33 token a1",
            "33 token b0",
            "45 token a2",
            "45 token b1",
            "45 preempted b",
            "56 token a3",
            "56 finished a",
            "56 batched b",
            "75 token b2",
            "86 token b3",
            "86 finished b"));
    assertThat(engine.preemptions(), is(1L));
    assertThat(engine.memoryUsedTokens(), is(0L));
  }

  @ParameterizedTest(name = "ranks {0} {1} in a batch of one: first finished {2}")
  @CsvSource({"0, 0, a", "1, 0, b", "0, 1, a"})
  void a_better_rank_preempts_a_worse_one_and_an_equal_one_waits(
      int rankOfA, int rankOfB, String firstFinished) {
    EngineModel engine = engine(1, 100, ColdStart.none(1));
    engine.submit(EngineRequest.of("a", rankOfA, 1, 5), START);
    engine.submit(EngineRequest.of("b", rankOfB, 1, 5), at(20));

    List<String> finished =
        runToEnd(engine).stream().filter(line -> line.contains("finished")).toList();

    assertThat(finished.getFirst().endsWith(firstFinished), is(true));
    assertThat(finished.size(), is(2));
  }

  @Test
  void a_request_that_fills_the_memory_alone_ends_early() {
    EngineModel engine = engine(8, 5, ColdStart.none(1));
    assertThat(engine.submit(EngineRequest.of("big", 0, 5, 1), START), is(SubmitResult.TOO_LARGE));
    engine.submit(EngineRequest.of("a", 0, 2, 9), START);
    engine.advanceTo(at(1000));

    assertThat(
        engine.drain().getLast(),
        is(new EngineEvent.Finished(at(37), "a", FinishReason.LENGTH, 3)));
  }

  @Test
  void the_least_recently_used_prefix_is_evicted_and_a_cached_one_saves_prefill() {
    EngineModel engine = engine(8, 100, ColdStart.none(1));
    List<EngineRequest> requests =
        List.of(
            new EngineRequest("a", 0, 9, List.of(1L, 2L), 1, false),
            new EngineRequest("b", 0, 9, List.of(1L, 3L), 1, false),
            new EngineRequest("c", 0, 9, List.of(4L), 1, false),
            new EngineRequest("d", 0, 9, List.of(1L, 2L), 1, false));
    for (EngineRequest request : requests) {
      engine.submit(request, engine.nextEvent().orElse(START));
    }

    List<EngineEvent> events = new ArrayList<>();
    engine.advanceTo(at(1000));
    events.addAll(engine.drain());

    assertThat(
        events.stream()
            .filter(EngineEvent.Batched.class::isInstance)
            .map(event -> ((EngineEvent.Batched) event).cachedTokens())
            .toList(),
        contains(0, 4, 0, 4));
    assertThat(
        events.stream()
            .filter(EngineEvent.PrefixEvicted.class::isInstance)
            .map(event -> ((EngineEvent.PrefixEvicted) event).block())
            .toList(),
        contains(2L, 3L));
  }

  @ParameterizedTest(name = "{0} requests with cold limit {1}: {2}, {3} violations")
  @CsvSource({"2, 2, ACCEPTED, 0", "3, 2, CRASHED, 1", "1, 1, ACCEPTED, 0", "2, 1, CRASHED, 1"})
  void a_cold_engine_crashes_beyond_its_limit(
      int requests, int limit, SubmitResult last, long violations) {
    ColdStart cold = new ColdStart(Duration.ofSeconds(1), 0, limit, 2);
    EngineModel engine = engine(8, 100, cold);

    List<SubmitResult> results =
        IntStream.range(0, requests)
            .mapToObj(i -> engine.submit(EngineRequest.of("r" + i, 0, 1, 5), START))
            .toList();

    assertThat(results.getLast(), is(last));
    assertThat(engine.coldViolations(), is(violations));
    assertThat(engine.isDown(), is(violations > 0));
  }

  @ParameterizedTest(name = "duration {0} ms, requests {1}: cold at 0 {2}, at 50 {3}, at 200 {4}")
  @CsvSource({
    "0, 0, false, false, false",
    "100, 0, true, true, false",
    "0, 1, true, false, false",
    "100, 9, true, true, false",
    "0, 9, true, true, true"
  })
  void the_cold_phase_ends_by_time_or_by_requests(
      long millis, int requests, boolean first, boolean second, boolean third) {
    EngineModel engine = engine(8, 100, new ColdStart(Duration.ofMillis(millis), requests, 1, 2));
    engine.submit(EngineRequest.of("a", 0, 1, 1), START);

    assertThat(engine.isCold(START), is(first));
    assertThat(engine.isCold(at(50)), is(second));
    assertThat(engine.isCold(at(200)), is(third));
  }

  @Test
  void an_engine_that_turns_cold_counts_only_later_requests() {
    EngineModel engine = engine(8, 100, ColdStart.none(1));
    engine.submit(EngineRequest.of("a", 0, 1, 50), START);
    engine.submit(EngineRequest.of("b", 0, 1, 50), START);
    engine.turnCold(at(1));

    assertThat(engine.incarnation(), is(1));
    assertThat(engine.submit(EngineRequest.of("c", 0, 1, 50), at(2)), is(SubmitResult.ACCEPTED));
    engine.cancel("c", at(3));
    assertThat(engine.submit(EngineRequest.of("d", 0, 1, 50), at(4)), is(SubmitResult.ACCEPTED));
    assertThat(engine.submit(EngineRequest.of("e", 0, 1, 50), at(5)), is(SubmitResult.CRASHED));
  }

  @Test
  void a_crash_loses_all_requests_and_starts_a_new_incarnation() {
    EngineModel engine = engine(1, 100, ColdStart.none(1));
    engine.submit(EngineRequest.of("a", 0, 1, 50), START);
    engine.submit(EngineRequest.of("b", 0, 1, 50), START);
    engine.crash(at(5));

    assertThat(engine.submit(EngineRequest.of("c", 0, 1, 1), at(6)), is(SubmitResult.DOWN));
    assertThat(runToEnd(engine), contains("0 batched a", "5 crashed [a, b]", "5005 restarted 2"));
    assertThat(engine.submit(EngineRequest.of("a", 0, 1, 1), at(5005)), is(SubmitResult.ACCEPTED));
  }

  @Test
  void a_crashing_request_crashes_the_engine_when_it_enters_the_batch() {
    EngineModel engine = engine(1, 100, ColdStart.none(1));
    engine.submit(EngineRequest.of("a", 0, 1, 1), START);
    engine.submit(new EngineRequest("b", 0, 1, List.of(), 1, true), START);

    assertThat(
        runToEnd(engine),
        contains(
            "0 batched a", "13 token a0", "13 finished a", "13 crashed [b]", "5013 restarted 2"));
  }

  @Test
  void a_cancelled_request_frees_its_memory_and_produces_nothing_more() {
    EngineModel engine = engine(8, 100, ColdStart.none(1));
    engine.submit(EngineRequest.of("a", 0, 40, 50), START);
    engine.drain();

    assertThat(engine.cancel("a", at(1)), is(true));
    assertThat(engine.cancel("a", at(1)), is(false));
    assertThat(engine.memoryUsedTokens(), is(0L));
    assertThat(runToEnd(engine), is(empty()));
  }

  @Test
  void a_pause_delays_the_step_in_progress_by_its_length() {
    EngineModel engine = engine(8, 100, ColdStart.none(1));
    engine.submit(EngineRequest.of("a", 0, 1, 1), START);
    engine.pause(at(3));
    engine.advanceTo(at(1003));
    assertThat(engine.nextEvent().isPresent(), is(false));
    engine.resume(at(1003));

    assertThat(runToEnd(engine), contains("0 batched a", "1013 token a0", "1013 finished a"));
  }

  @Test
  void memory_never_exceeds_its_size_and_every_token_is_produced_once_under_random_load() {
    SplittableRandom random = new SplittableRandom(7);
    EngineModel engine = engine(16, 400, ColdStart.none(1));
    int expected = 0;
    for (int i = 0; i < 500; i++) {
      int output = random.nextInt(1, 100);
      expected += output;
      engine.submit(
          EngineRequest.of("r" + i, random.nextInt(3), random.nextInt(1, 100), output), at(i * 30));
      assertThat(engine.memoryUsedTokens(), lessThanOrEqualTo(400L));
    }

    List<EngineEvent.Token> tokens = runTokens(engine);

    assertThat(engine.preemptions() > 0, is(true));
    assertThat(tokens.size(), is(expected));
    assertThat(
        tokens.stream().map(token -> token.id() + "/" + token.index()).distinct().count(),
        is((long) expected));
  }

  @Test
  void an_hour_of_a_busy_engine_replays_within_seconds() {
    EngineSettings settings =
        new EngineSettings(
            64,
            2048,
            200_000,
            64,
            1000,
            new StepTimes(
                Duration.ofMillis(20), Duration.ofNanos(200_000), Duration.ofNanos(20_000), 0.05),
            ColdStart.none(4),
            RESTART);
    EngineModel engine = new EngineModel(settings, new SplittableRandom(3), START);
    long tokens = 0;
    long begin = System.nanoTime();
    for (int second = 0; second < 3600; second++) {
      for (int i = 0; i < 4; i++) {
        engine.submit(EngineRequest.of(second + "-" + i, i, 500, 450), START.plusSeconds(second));
      }
      engine.advanceTo(START.plusSeconds(second + 1));
      tokens += engine.drain().stream().filter(EngineEvent.Token.class::isInstance).count();
    }
    Duration taken = Duration.ofNanos(System.nanoTime() - begin);

    assertThat(tokens, is(greaterThan(6_000_000L)));
    assertThat(taken, is(lessThan(Duration.ofSeconds(20))));
  }
}
