package org.cactusseam.logic.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import org.cactusseam.logic.stream.TokenSequencer.Action;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against duplicate, missing and reordered tokens after a stream is resumed. */
class TokenSequencerTest {

  @ParameterizedTest(name = "from {0}, events {1}: {2}")
  @CsvSource({
    "0, 0 1 2, DELIVER DELIVER DELIVER",
    "3, 0 1 2 3, DROP DROP DROP DELIVER",
    "0, 0 2 1, DELIVER RESUME DELIVER",
    "0, 0 0 1, DELIVER DROP DELIVER",
    "5, 7 5 6, RESUME DELIVER DELIVER"
  })
  void each_index_is_delivered_once_and_in_order(long start, String events, String expected) {
    TokenSequencer sequencer = new TokenSequencer(start);

    List<Action> actions =
        Arrays.stream(events.split(" ")).map(Long::valueOf).map(sequencer::accept).toList();

    List<Action> wanted = Arrays.stream(expected.split(" ")).map(Action::valueOf).toList();
    assertThat(actions, is(wanted));
  }
}
