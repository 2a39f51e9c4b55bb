package org.cactusseam.logic.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.control.RecordOutcome;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.control.ControlRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against commands for roll-outs that take effect in the wrong stage, repeat one that is in
 * force, or name the wrong versions with traffic.
 */
class RolloutOrdersTest {

  private static final PoolName POOL = new PoolName("app");
  private static final long RECORDED_AT = 5_000;
  private static final String ROLL = "roll pool app to version \"v2\" within 1min";

  private final ControlState state = new ControlState();

  @BeforeEach
  void declare() {
    apply("create domain wien region ost");
    apply(
        "create server a1 pool app domain wien kind plain address 10.0.0.1:80 fencing ignored"
            + " cold-limit 2 warm-limit 8 version \"v1\"");
    apply(
        "create server a0 pool app domain wien kind plain address 10.0.0.1:81 fencing ignored"
            + " cold-limit 2 warm-limit 8");
  }

  private OrderTranslation apply(String text) {
    Command.ConfigurationOrder order = (Command.ConfigurationOrder) CommandParser.parse(text).get();
    OrderTranslation translation =
        new OrderTranslator(state.configuration())
            .translate(order, "command-" + state.nextOffset(), "anna");
    if (translation instanceof OrderTranslation.Changes changes) {
      assertThat(record(changes.change()), is(RecordOutcome.ACCEPTED));
    }
    return translation;
  }

  private RecordOutcome record(ControlRecord.Change change) {
    return state.apply(state.nextOffset(), RECORDED_AT, change);
  }

  private PoolRollout rollout() {
    return state.configuration().rollout(POOL).orElseThrow();
  }

  private RecordOutcome recordStage(String stage, long revision) {
    PoolRollout next = rollout().withStage(stage, "test");
    String id = "stage-" + state.nextOffset();
    return record(
        new ControlRecord.Change(id, next.key(), revision, Optional.of(next), "roll-out"));
  }

  private long revision() {
    return state.expectedRevision(PoolRollout.keyOf(POOL));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      textBlock =
          """
          ROLL; stage=canary
          ROLL, ROLL; Unchanged
          ROLL, roll pool app to version "v3" within 1min; another roll-out of pool app is in progress
          ROLL, roll pool app to version "v2" within 2min; another roll-out of pool app is in progress
          roll pool app to version "v2" within 9s; a roll-out takes at least 10s
          roll pool nothing to version "v2" within 1min; pool nothing has no servers
          pause roll-out of pool app; no roll-out of pool app was ordered
          ROLL, pause roll-out of pool app; paused=true
          ROLL, pause roll-out of pool app, pause roll-out of pool app; Unchanged
          ROLL, pause roll-out of pool app, resume roll-out of pool app; paused=false
          ROLL, resume roll-out of pool app; Unchanged
          ROLL, revert roll-out of pool app; stage=reverted
          ROLL, revert roll-out of pool app, revert roll-out of pool app; Unchanged
          ROLL, revert roll-out of pool app, pause roll-out of pool app; the roll-out of pool app is reverted
          ROLL, revert roll-out of pool app, ROLL; replaced=[, v1]
          ROLL, COMPLETE, revert roll-out of pool app; the roll-out of pool app is completed
          ROLL, COMPLETE, ROLL; pool app already has this version
          ROLL, COMPLETE, roll pool app to version "v1" within 1min; version=v1, replaced=[v2]
          ROLL, if revision 2 pause roll-out of pool app; REVISION_CONFLICT
          if revision 9 ROLL; REVISION_CONFLICT
          """)
  void a_command_follows_the_stage_of_the_roll_out(String commands, String expected) {
    List<String> texts = Arrays.stream(commands.split(", ")).toList();
    for (String text : texts.subList(0, texts.size() - 1)) {
      if (text.equals("COMPLETE")) {
        assertThat(recordStage("shifting", revision()), is(RecordOutcome.ACCEPTED));
        assertThat(recordStage("completed", revision()), is(RecordOutcome.ACCEPTED));
      } else {
        apply(text.replace("ROLL", ROLL));
      }
    }

    OrderTranslation last = apply(texts.getLast().replace("ROLL", ROLL));

    assertThat(last.toString(), containsString(expected));
  }

  @Test
  void the_deadline_counts_from_the_record_of_the_command_and_stays_with_later_records() {
    apply(ROLL);
    final long offset = revision();

    apply("pause roll-out of pool app");
    recordStage("shifting", revision());

    assertThat(rollout().order(), is(offset));
    assertThat(rollout().deadlineMillis(), is(RECORDED_AT + 60_000));
    assertThat(rollout().paused(), is(true));
  }

  @ParameterizedTest
  @CsvSource({
    "shifting,  canary,   0,  INVALID",
    "shifting,  reverted, 0,  ACCEPTED",
    "reverted,  shifting, 0,  INVALID",
    "completed, reverted, 0,  INVALID",
    "canary,    sideways, 0,  INVALID",
    "canary,    shifting, -1, CONFLICT"
  })
  void a_stage_is_recorded_only_after_the_one_that_it_was_decided_from(
      String known, String next, long revisionOffset, RecordOutcome expected) {
    apply(ROLL);
    recordStage(known, revision());

    assertThat(recordStage(next, revision() + revisionOffset), is(expected));
  }

  @Test
  void a_start_from_a_snapshot_knows_the_roll_out() {
    apply(ROLL);
    recordStage("shifting", revision());
    ControlState restored = new ControlState();

    restored.load(state.snapshot(entry -> 100));

    assertThat(restored.configuration().rollout(POOL), is(Optional.of(rollout())));
    assertThat(
        new QueryResults(restored.configuration()).rollouts(List.of()).toText(),
        containsString("shifting"));
  }
}
