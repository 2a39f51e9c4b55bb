package org.cactusseam.edge.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusseam.logic.membership.MembershipSettings;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.message.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against refusals of attempts while the owner of their shard changes, against the use of
 * permits that are no longer valid, and against attempts that wait for an owner that does not come.
 */
class PermitRouterTest {

  private static final ShardId SHARD = new ShardId(new PoolName("p"), new RegionName("r"), 0);
  private static final PermitRequestId ID = new PermitRequestId(new NodeName("n0"), "b1", 1);
  private static final Duration TAKEOVER_LIMIT = MembershipSettings.DEFAULT.takeoverLimit();

  private final Vertx vertx = Vertx.vertx();
  private final PausedClock clock = new PausedClock();
  private final List<NodeName> requestReceivers = new ArrayList<>();
  private final List<PeerMessage.AttemptEnded> endedAttempts = new ArrayList<>();
  private final List<PermitAnswer> answers = new ArrayList<>();
  private int lastRound;
  private Optional<NodeName> owner = Optional.of(new NodeName("n1"));
  private final PermitRouter router =
      new PermitRouter(
          new ControlThread(vertx),
          clock,
          shard -> owner,
          () -> 0,
          TAKEOVER_LIMIT,
          pool -> false,
          this::send);

  @AfterEach
  void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void send(NodeName node, PeerMessage message) {
    switch (message) {
      case PeerMessage.AskPermit ask -> {
        requestReceivers.add(node);
        lastRound = ask.round();
      }
      case PeerMessage.AttemptEnded end -> endedAttempts.add(end);
      default -> throw new AssertionError("unexpected " + message);
    }
  }

  private void requestPermit(long timeToDeadlineMillis) {
    router.startRequest(
        new PermitRequest(
            ID,
            SHARD,
            "request",
            new AccountName("a"),
            new PriorityClassName("c"),
            new RouteName("t"),
            10,
            List.of(),
            10,
            timeToDeadlineMillis,
            List.of(),
            "f"),
        answers::add);
  }

  /**
   * Performs steps that are separated by blanks: a number advances the clock by so many
   * milliseconds, a word is a request, a decision of an owner or a change of owner.
   */
  private void perform(String steps) {
    for (String step : steps.split(" ")) {
      switch (step) {
        case "ask" -> requestPermit(30_000);
        case "not-owner" -> refuse(ResultCode.NO_ADMISSION);
        case "overloaded" -> refuse(ResultCode.OVERLOADED);
        case "queued" -> router.onDecision(new AdmissionDecision.Queued(ID), lastRound);
        case "granted" -> grant(lastRound);
        case "granted-first" -> grant(0);
        case "moved" -> {
          owner = Optional.of(new NodeName("n2"));
          router.onOwnersChanged();
        }
        case "no-owner" -> owner = Optional.empty();
        default -> advance(Long.parseLong(step));
      }
    }
  }

  private void advance(long millis) {
    for (long passed = 0; passed < millis; passed += 50) {
      clock.advance(50);
      router.tick();
    }
  }

  private void refuse(ResultCode code) {
    router.onDecision(new AdmissionDecision.Refused(ID, code, "detail", 500), lastRound);
  }

  private void grant(int round) {
    Permit permit = new Permit(ID, SHARD, new BackendServerName("s"), 7);
    router.onDecision(new AdmissionDecision.Granted(permit), round);
  }

  private String firstAnswer() {
    return answers.stream()
        .map(
            answer ->
                switch (answer) {
                  case PermitAnswer.Granted granted -> "granted";
                  case PermitAnswer.WithoutOwner without -> "without-owner";
                  case PermitAnswer.Denied denied -> denied.refusal().code().name();
                })
        .findFirst()
        .orElse("none");
  }

  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource({
    "ask granted, granted",
    "ask overloaded, OVERLOADED",
    "ask not-owner, none",
    "ask not-owner 250 granted, granted",
    "ask queued 900 not-owner moved granted, granted",
    "ask not-owner 950, none",
    "ask not-owner 1050, without-owner",
    "ask 1050, without-owner",
    "ask queued 900 queued 900, none",
    "no-owner ask 950 moved granted, granted",
    "no-owner ask 1050, without-owner",
    "ask 600 granted-first, granted",
    "ask queued 900 queued 150 granted-first, without-owner",
    "ask queued 900 overloaded, OVERLOADED"
  })
  void an_attempt_is_answered_only_by_a_node_that_may_grant(String steps, String expected) {
    perform(steps);

    assertThat(firstAnswer(), is(expected));
  }

  @Test
  void a_queued_attempt_is_sent_to_the_next_owner_at_once() {
    perform("ask queued moved");

    assertThat(requestReceivers, is(List.of(new NodeName("n1"), new NodeName("n2"))));
  }

  /**
   * Otherwise every caller would wait for seconds while a shard stays without an owner for an hour.
   */
  @ParameterizedTest(name = "after {0} s without owner: {1}")
  @CsvSource({"3, none", "7, none", "8, NO_ADMISSION", "60, NO_ADMISSION"})
  void a_shard_that_stays_without_owner_refuses_at_once(long seconds, String expected) {
    for (long passed = 0; passed < seconds; passed++) {
      perform("ask not-owner 1000 50");
    }
    answers.clear();

    perform("ask not-owner");

    assertThat(firstAnswer(), is(expected));
  }

  @Test
  void the_end_of_an_attempt_that_is_withdrawn_is_reported_to_the_owner() {
    perform("ask 1050");

    assertThat(endedAttempts.size(), is(1));
  }
}
