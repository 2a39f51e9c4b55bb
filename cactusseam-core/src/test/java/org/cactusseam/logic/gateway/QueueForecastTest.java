package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against refusals that rest on a rate which says nothing about the capacity. */
class QueueForecastTest {

  private static final Instant START = Instant.EPOCH;

  private final RequestQueue<String> queue = new RequestQueue<>();

  /** Adds requests, and then starts one of them every 50 ms for the given time. */
  private Instant serve(int requests, int millis) {
    for (int number = 0; number < requests; number++) {
      queue.add(new RequestQueue.Claim(1, "a", 1, START.plusSeconds(10)), "r-" + number);
    }
    List<String> started = new ArrayList<>();
    queue.startWaiting(START, request -> false);
    for (int at = 50; at <= millis; at += 50) {
      int limit = at / 50;
      queue.startWaiting(
          START.plusMillis(at), request -> started.size() < limit && started.add(request));
    }
    return START.plusMillis(millis);
  }

  @Test
  void the_rate_is_known_only_after_requests_have_waited() {
    serve(30, 450);
    assertThat(queue.startsPerSecond(), is(OptionalDouble.empty()));

    serve(0, 1_000);
    assertThat(queue.startsPerSecond().orElseThrow(), closeTo(20, 4));
  }

  /** Guards against refusals after a quiet time, in which few requests start because few arrive. */
  @Test
  void an_empty_queue_gives_no_rate() {
    for (int at = 0; at < 3_000; at += 100) {
      queue.add(new RequestQueue.Claim(1, "a", 1, START.plusSeconds(10)), "r");
      queue.startWaiting(START.plusMillis(at), request -> true);
    }

    assertThat(queue.startsPerSecond(), is(OptionalDouble.empty()));
  }

  /** Guards against refusals by a gateway that was paused and takes the pause for a slow server. */
  @Test
  void the_rate_before_and_during_a_pause_of_the_process_is_discarded() {
    Instant now = serve(45, 1_000);
    queue.startWaiting(now.plusSeconds(5), request -> false);

    assertThat(queue.startsPerSecond(), is(OptionalDouble.empty()));
  }

  /**
   * 20 requests start in a second: with 300 ms left and a margin of 3, the first 18 are in time.
   */
  @Test
  void only_requests_at_the_end_of_the_queue_are_too_late() {
    Instant now = serve(60, 1_000);

    assertThat(queue.findTooLate(now, request -> Duration.ofSeconds(5)), is(List.of()));
    int inTime = queue.size() - queue.findTooLate(now, request -> Duration.ofMillis(300)).size();
    assertThat((double) inTime, closeTo(18, 4));
  }

  /** Guards against refused callers that all come back at the same moment. */
  @Test
  void refused_callers_are_told_different_times() {
    Instant now = serve(45, 1_000);
    List<Duration> times =
        LongStream.range(0, 10).mapToObj(refused -> queue.takeRetryAfter(now)).toList();

    assertThat(times.stream().distinct().count(), is(10L));
    assertThat(new RequestQueue<String>().takeRetryAfter(now), is(Duration.ofMillis(800)));
  }

  /** Guards against a time to retry that grows without limit during a long overload. */
  @Test
  void the_time_to_retry_is_bounded() {
    Instant now = serve(45, 1_000);
    for (int refused = 0; refused < 1_000; refused++) {
      queue.takeRetryAfter(now);
    }

    assertThat(queue.takeRetryAfter(now), is(Duration.ofSeconds(2)));
  }
}
