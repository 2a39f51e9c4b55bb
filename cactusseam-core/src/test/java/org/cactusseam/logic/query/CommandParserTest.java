package org.cactusseam.logic.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against commands that are parsed incorrectly, and against errors without a position. */
class CommandParserTest {

  private static final String HASH = "0123456789abcdef".repeat(4);

  @ParameterizedTest
  @ValueSource(
      strings = {
        "show requests",
        "show requests where account = resi",
        "show requests where account = a and route = b and server = c and domain = d",
        "show servers",
        "show domains",
        "show accounts",
        "show classes",
        "show routes",
        "show nodes",
        "show shards",
        "show orders",
        "show rollouts",
        "roll pool spende-app to version \"v2\" within 10min",
        "if revision 12 roll pool pool to version \"v 2\" within 30s",
        "pause roll-out of pool spende-app",
        "if revision 7 resume roll-out of pool of",
        "revert roll-out of pool spende-app",
        "show command 019a-b.c",
        "create class gold rank 0",
        "create class bulk rank 9 may-wait",
        "create class bulk rank 9 may-wait no",
        "create account resi class gold share 25 key-hash HASH",
        "create account resi class gold share 25 key-hash HASH key-hash HASH",
        "create route llm path \"/v1/completions\" model \"zopf llm\" pool zopf-llm kind engine"
            + " repeatable yes deadline 90s",
        "create route app path \"/spende\" pool spende-app kind plain repeatable no deadline 1500ms",
        "create domain ost-wien region ost",
        "create server w1 pool zopf-llm domain ost-wien kind engine address 10.0.0.1:8000 fencing"
            + " checked cold-limit 2 warm-limit 16 memory 200000",
        "create server w1 pool zopf-llm domain ost-wien kind plain address [2001:db8::1]:80 fencing"
            + " ignored cold-limit 2 warm-limit 16",
        "create server w1 pool p domain d kind plain address 10.0.0.1:80 fencing ignored"
            + " cold-limit 2 warm-limit 16 version \"v 1.2\"",
        "change server w1 memory 7 version \"v2\"",
        "change server version version \"v2\"",
        "change class gold rank 1",
        "if revision 12 change account resi share 30",
        "change account resi key-hash HASH",
        "change server w1 warm-limit 20",
        "change domain role region west",
        "remove account resi",
        "if revision 0 remove server w1",
        "take domain ost-wien out",
        "if revision 7 take server w1 out",
        "bring domain ost-wien in",
        "bring server in in",
        "load model \"zopf-2\" on server w1",
        "load adapter \"a b\" on server w1",
        "load version \"7\" on server w1",
        "change role of server w1 to \"prefill\"",
        "create account account class class share 0 key-hash HASH"
      })
  void a_valid_command_prints_as_it_was_written(String text) {
    String command = text.replace("HASH", HASH);

    assertThat(CommandParser.parse(command).map(CommandPrinter::print).get(), is(command));
  }

  @ParameterizedTest
  @CsvSource({
    "'  show\t requests  ', show requests",
    "'show requests where account=a', show requests where account = a",
    "'create class bulk rank 9 may-wait yes', create class bulk rank 9 may-wait",
    "'show\n servers', show servers",
    "'change account a share 007', change account a share 7"
  })
  void spaces_and_optional_words_do_not_matter(String text, String canonical) {
    assertThat(CommandParser.parse(text).map(CommandPrinter::print).get(), is(canonical));
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = ';',
      quoteCharacter = '`',
      textBlock =
          """
          ``; line 1, column 1: expected 'bring' or 'change' or 'create' or 'if' or 'load' or 'pause' or 'resume' or 'revert' or 'remove' or 'roll' or 'show' or 'take', found the end
          show; line 1, column 5: expected 'command' or 'requests' or 'servers' or 'domains' or 'accounts' or 'classes' or 'routes' or 'nodes' or 'shards' or 'orders' or 'rollouts', found the end
          show Servers; line 1, column 6: expected 'command' or 'requests' or 'servers' or 'domains' or 'accounts' or 'classes' or 'routes' or 'nodes' or 'shards' or 'orders' or 'rollouts', found 'Servers'
          show servers now; line 1, column 14: expected the end, found 'now'
          show requests where; line 1, column 20: expected 'account' or 'route' or 'server' or 'domain', found the end
          show requests where account resi; line 1, column 29: expected '=', found 'resi'
          show requests where account = "a"; line 1, column 31: expected the name of an object, found '"a"'
          create class gold; line 1, column 18: expected 'rank', found the end
          create class gold rank 10; line 1, column 24: expected a whole number from 0 to 9, found '10'
          create class Gold rank 1; line 1, column 14: expected the name of a class, found 'Gold'
          create account a class c share 1; line 1, column 33: expected 'key-hash', found the end
          create account a class c share 1 key-hash 12AB; line 1, column 43: expected 64 lower-case hexadecimal digits, found '12AB'
          create route r path /x pool p kind plain repeatable no deadline 1s; line 1, column 21: expected a path like "/v1/completions", found '/x'
          create route r path "/x" pool p kind plain repeatable no deadline 1; line 1, column 67: expected a duration like 500ms, 3s, 10min, 12h or 7d, up to 1d, found '1'
          create server s pool p domain d kind engine address example.org:80 fencing checked cold-limit 1 warm-limit 1; line 1, column 53: expected an address like 10.0.0.1:8080, found 'example.org:80'
          if revision x remove class c; line 1, column 13: expected a whole number from 0 to 999999999999999999, found 'x'
          if revision 1 create class c rank 1; line 1, column 15: expected 'bring' or 'change' or 'pause' or 'resume' or 'revert' or 'remove' or 'roll' or 'take', found 'create'
          change class gold; line 1, column 18: expected an attribute, found the end
          change class gold share 3; line 1, column 19: expected 'may-wait' or 'rank' or the end, found 'share'
          change server w1 version v2; line 1, column 26: expected a version in double quotes, 1 to 256 characters, found 'v2'
          change server w1 version "v2" memory 7; line 1, column 31: expected the end, found 'memory'
          take server w1; line 1, column 15: expected 'out', found the end
          take account a out; line 1, column 6: expected 'domain' or 'server', found 'account'
          roll pool p to version v2 within 1min; line 1, column 24: expected a version in double quotes, 1 to 256 characters, found 'v2'
          roll pool p to version "v2"; line 1, column 28: expected 'within', found the end
          pause pool p; line 1, column 7: expected 'roll-out', found 'pool'
          load model zopf on server w1; line 1, column 12: expected a name in double quotes, 1 to 256 characters, found 'zopf'
          load model "zopf; line 1, column 12: expected a name in double quotes, 1 to 256 characters, found '"zopf'
          show servers "x; line 1, column 14: expected '=' or a text in double quotes or a word or the end, found '"x'
          remove class c "; line 1, column 16: expected '=' or a text in double quotes or a word or the end, found '"'
          """)
  void an_error_names_its_position_and_what_was_expected(String text, String expected) {
    String message = CommandParser.parse(text).getLeft().message();

    assertThat(message, is(expected));
  }

  @Test
  void an_error_in_the_second_line_names_that_line() {
    CommandError error = CommandParser.parse("show\n  nothing").getLeft();

    assertThat(error.line(), is(2));
    assertThat(error.column(), is(3));
  }

  @Test
  void a_command_over_the_longest_length_is_refused_without_being_read() {
    String text = "show requests" + " ".repeat(CommandParser.MAX_COMMAND_LENGTH);

    assertThat(CommandParser.parse(text).getLeft().message().length(), lessThan(100));
  }
}
