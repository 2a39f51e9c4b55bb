package org.cactusseam.logic.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.control.RecordOutcome;
import org.cactusseam.model.control.ControlRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against orders that lose attributes, that are not idempotent or that leave dangling
 * references.
 */
class OrderTranslatorTest {

  private static final String HASH = "0123456789abcdef".repeat(4);
  private static final List<String> DECLARATIONS =
      List.of(
          "create class gold rank 0",
          "create class bulk rank 9 may-wait",
          "create account resi class gold share 25 key-hash " + HASH,
          "create domain wien region ost",
          "create server w1 pool llm domain wien kind engine address 10.0.0.1:80 fencing checked"
              + " cold-limit 2 warm-limit 8 memory 1000",
          "create route r path \"/x\" model \"m\" pool llm kind engine repeatable yes deadline 5s",
          "create domain graz region ost",
          "remove domain graz");

  private final ControlState state = new ControlState();

  private OrderTranslation translate(String text) {
    Command.ConfigurationOrder order = (Command.ConfigurationOrder) CommandParser.parse(text).get();
    return new OrderTranslator(state.configuration())
        .translate(order, "command-" + state.nextOffset(), "anna");
  }

  private OrderTranslation apply(String text) {
    OrderTranslation translation = translate(text);
    if (translation instanceof OrderTranslation.Changes changes) {
      RecordOutcome verdict = state.apply(state.nextOffset(), changes.change());
      assertThat(verdict, is(RecordOutcome.ACCEPTED));
    }
    return translation;
  }

  @BeforeEach
  void declare() {
    DECLARATIONS.forEach(
        text -> assertThat(text, apply(text), instanceOf(OrderTranslation.Changes.class)));
  }

  @Test
  void declarations_that_are_in_force_change_nothing_when_they_are_applied_again() {
    long before = state.nextOffset();

    // Creating an object that was removed later is a change and takes effect.
    DECLARATIONS.stream()
        .filter(text -> !text.startsWith("create domain graz"))
        .forEach(
            text -> assertThat(text, apply(text), instanceOf(OrderTranslation.Unchanged.class)));

    assertThat(state.nextOffset(), is(before));
  }

  @Test
  void a_declaration_stays_in_force_while_its_object_is_out_of_service() {
    apply("take server w1 out");

    assertThat(apply(DECLARATIONS.get(4)), instanceOf(OrderTranslation.Unchanged.class));
    assertThat(apply("take server w1 out"), instanceOf(OrderTranslation.Unchanged.class));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      textBlock =
          """
          change account resi share 30; share=30, keyHashes=[0123
          change account resi share 30; priorityClass=gold
          change class bulk rank 8; rank=8, mayWait=true
          change class bulk may-wait no; rank=9, mayWait=false
          change route r deadline 7s; model=Optional[m], pool=llm, kind=ENGINE, repeatable=true, deadlineMillis=7000
          change server w1 warm-limit 9; host=10.0.0.1, port=80, checksFencing=true, coldLimit=2, warmLimit=9, memoryTokens=1000, state=IN
          change server w1 version "v2"; coldLimit=2, warmLimit=8, memoryTokens=1000, state=IN, version=v2
          take server w1 out; warmLimit=8, memoryTokens=1000, state=OUT
          take domain wien out; region=ost, state=OUT
          change domain wien region west; region=west, state=IN
          """)
  void a_change_keeps_the_attributes_that_it_does_not_specify(String text, String expected) {
    OrderTranslation translation = translate(text);

    assertThat(translation, instanceOf(OrderTranslation.Changes.class));
    assertThat(translation.toString(), containsString(expected));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      textBlock =
          """
          change server w1 warm-limit 9; warmLimit=9, memoryTokens=1000, state=IN, version=v1
          take server w1 out; state=OUT, version=v1
          change server w1 version "v1"; Unchanged
          create server w1 pool llm domain wien kind engine address 10.0.0.1:80 fencing checked cold-limit 2 warm-limit 8 memory 1000; exists with other attributes
          """)
  void a_stated_version_is_kept_until_another_one_is_stated(String text, String expected) {
    apply("change server w1 version \"v1\"");

    assertThat(translate(text).toString(), containsString(expected));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      textBlock =
          """
          create class gold rank 1; INVALID_COMMAND; class gold exists with other attributes; use 'change'
          create account a class silver share 1 key-hash HASH; INVALID_COMMAND; class silver does not exist
          create server s pool p domain d kind plain address 10.0.0.1:1 fencing ignored cold-limit 1 warm-limit 1; INVALID_COMMAND; domain d does not exist
          create server s pool p domain wien kind engine address 10.0.0.1:1 fencing ignored cold-limit 1 warm-limit 1; INVALID_COMMAND; an engine needs 'memory'
          create server s pool p domain wien kind plain address 10.0.0.1:1 fencing ignored cold-limit 2 warm-limit 1; INVALID_COMMAND; limits must satisfy
          change server w1 cold-limit 9; INVALID_COMMAND; limits must satisfy 1 <= cold <= warm
          change account nobody share 1; INVALID_COMMAND; account nobody does not exist
          change account resi class silver; INVALID_COMMAND; class silver does not exist
          remove account nobody; INVALID_COMMAND; account nobody does not exist
          remove class gold; INVALID_COMMAND; class gold is used by account resi
          remove domain wien; INVALID_COMMAND; domain wien is used by server w1
          take domain graz out; INVALID_COMMAND; domain graz does not exist
          if revision 7 change account resi share 1; REVISION_CONFLICT; account resi has revision 2
          if revision 7 remove account nobody; REVISION_CONFLICT; account nobody does not exist
          """)
  void an_order_that_cannot_be_carried_out_is_refused_with_its_reason(
      String text, String code, String message) {
    OrderTranslation translation = translate(text.replace("HASH", HASH));

    assertThat(translation, instanceOf(OrderTranslation.Refused.class));
    assertThat(translation.toString(), containsString("code=" + code));
    assertThat(translation.toString(), containsString(message));
  }

  @Test
  void of_two_concurrent_changes_the_log_accepts_only_the_first() {
    ControlRecord.Change first =
        ((OrderTranslation.Changes) translate("take server w1 out")).change();
    ControlRecord.Change second =
        new ControlRecord.Change(
            "other",
            first.key(),
            ((OrderTranslation.Changes) translate("if revision 4 remove server w1"))
                .change()
                .expectedRevision(),
            first.value(),
            "berta");

    state.apply(state.nextOffset(), first);

    assertThat(state.apply(state.nextOffset(), second), is(RecordOutcome.CONFLICT));
  }

  @Test
  void a_record_names_the_command_and_the_operator() {
    ControlRecord.Change change = ((OrderTranslation.Changes) translate("remove route r")).change();

    assertThat(change.operator(), is("anna"));
    assertThat(change.commandId(), is("command-8"));
    assertThat(change.expectedRevision(), is(5L));
  }
}
