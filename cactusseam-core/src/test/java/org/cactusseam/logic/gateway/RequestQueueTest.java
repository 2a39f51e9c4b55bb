package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that wait behind those of one account that floods the gateway, behind
 * less urgent ones, or behind ones that are late anyway.
 */
class RequestQueueTest {

  private static final Instant START = Instant.EPOCH;
  private static final Instant ON_TIME = START.plusSeconds(10);

  private final RequestQueue<String> queue = new RequestQueue<>();

  private void add(int rank, String account, String request) {
    queue.add(new RequestQueue.Claim(rank, account, 1, ON_TIME), request);
  }

  /** Starts the given number of requests and returns them in the order of their start. */
  private List<String> start(int number, Instant now) {
    List<String> started = new ArrayList<>();
    queue.startWaiting(now, request -> started.size() < number && started.add(request));
    return started;
  }

  @Test
  void requests_of_one_account_start_in_the_order_of_their_arrival() {
    add(1, "a", "a-1");
    add(1, "a", "a-2");

    assertThat(start(2, START), is(List.of("a-1", "a-2")));
  }

  @Test
  void an_urgent_request_precedes_those_that_wait_longer() {
    add(2, "a", "a-1");
    add(1, "b", "b-1");

    assertThat(start(1, START), is(List.of("b-1")));
  }

  @Test
  void the_requests_of_an_account_do_not_wait_for_the_flood_of_another_one() {
    for (int request = 1; request <= 50; request++) {
      add(1, "flood", "flood-" + request);
    }
    add(1, "b", "b-1");
    add(1, "b", "b-2");

    assertThat(start(4, START), is(List.of("flood-1", "b-1", "flood-2", "b-2")));
  }

  /** Guards against an account that is punished for a flood that has long been served. */
  @Test
  void an_account_whose_flood_is_served_owes_nothing() {
    for (int request = 1; request <= 50; request++) {
      add(1, "flood", "flood-" + request);
    }
    start(50, START);
    add(1, "flood", "flood-51");
    add(1, "b", "b-1");

    assertThat(start(2, START), is(List.of("flood-51", "b-1")));
  }

  @Test
  void the_cost_of_a_request_counts() {
    queue.add(new RequestQueue.Claim(1, "large", 4_000, ON_TIME), "large-1");
    queue.add(new RequestQueue.Claim(1, "large", 4_000, ON_TIME), "large-2");
    queue.add(new RequestQueue.Claim(1, "small", 1_000, ON_TIME), "small-1");
    queue.add(new RequestQueue.Claim(1, "small", 1_000, ON_TIME), "small-2");

    assertThat(start(4, START), is(List.of("large-1", "small-1", "small-2", "large-2")));
  }

  @Test
  void a_request_that_can_still_be_on_time_precedes_one_that_is_late_anyway() {
    queue.add(new RequestQueue.Claim(1, "a", 1, START.plusSeconds(1)), "late");
    queue.add(new RequestQueue.Claim(1, "b", 1, START.plusSeconds(3)), "on-time");

    assertThat(start(2, START.plusSeconds(2)), is(List.of("on-time", "late")));
  }

  /** Guards against a late request that overtakes a more urgent one because that one is later. */
  @Test
  void the_rank_comes_before_the_target_latency() {
    queue.add(new RequestQueue.Claim(1, "a", 1, START.plusSeconds(1)), "urgent-but-late");
    queue.add(new RequestQueue.Claim(2, "b", 1, START.plusSeconds(9)), "on-time");

    assertThat(start(1, START.plusSeconds(2)), is(List.of("urgent-but-late")));
  }

  @Test
  void a_request_that_was_removed_does_not_start() {
    RequestQueue.Entry<String> entry = queue.add(new RequestQueue.Claim(1, "a", 1, ON_TIME), "a-1");
    add(1, "b", "b-1");

    queue.remove(entry);

    assertThat(start(2, START), is(List.of("b-1")));
    assertThat(queue.size(), is(0));
  }

  /**
   * Guards against a request that is sent twice: its start fails at once, so that it is queued
   * again while its first entry is still being started.
   */
  @Test
  void a_request_that_is_queued_again_while_it_starts_has_one_entry_in_the_queue() {
    List<String> sent = new ArrayList<>();
    add(1, "a", "a-1");

    queue.startWaiting(START, request -> failOnceAndQueueAgain(request, sent));

    assertThat(sent, is(List.of("failed a-1", "sent a-1")));
    assertThat(queue.size(), is(0));
  }

  private boolean failOnceAndQueueAgain(String request, List<String> sent) {
    if (sent.isEmpty()) {
      sent.add("failed " + request);
      add(1, "a", request);
      queue.startWaiting(START, again -> sent.add("sent " + again));
    } else {
      sent.add("sent " + request);
    }
    return true;
  }

  /**
   * Guards against a request that is sent again at each call: its start fails with an exception
   * after it was sent.
   */
  @Test
  void a_request_whose_start_fails_with_an_exception_is_not_started_again() {
    List<String> sent = new ArrayList<>();
    add(1, "a", "a-1");
    try {
      queue.startWaiting(
          START,
          request -> {
            sent.add(request);
            throw new IllegalStateException("failed after the send");
          });
    } catch (IllegalStateException e) {
      sent.add(e.getMessage());
    }

    queue.startWaiting(START, sent::add);

    assertThat(sent, is(List.of("a-1", "failed after the send")));
  }

  /** Guards against a request that starts although it has ended while its start was tried. */
  @Test
  void a_request_that_is_removed_while_its_start_is_tried_does_not_wait_any_longer() {
    RequestQueue.Entry<String> entry = queue.add(new RequestQueue.Claim(1, "a", 1, ON_TIME), "a-1");

    queue.startWaiting(
        START,
        request -> {
          queue.remove(entry);
          return false;
        });

    assertThat(queue.size(), is(0));
  }

  /**
   * Replays a service of 6 slots with 86 ms of work a request, which 9 accounts use by 60 % while
   * one account sends a multiple of its usual amount.
   */
  @ParameterizedTest(name = "one account at {0} times its usual amount")
  @CsvSource({"1", "8", "20"})
  void other_accounts_are_served_on_time_during_the_flood_of_one(int flood) {
    QueueReplay replay = new QueueReplay(flood);

    assertThat(replay.shareOfOthersOnTime(), greaterThanOrEqualTo(0.9));
  }
}
