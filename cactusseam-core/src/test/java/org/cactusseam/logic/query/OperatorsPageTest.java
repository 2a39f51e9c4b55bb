package org.cactusseam.logic.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against examples in the documentation for operators that the parser does not accept. */
class OperatorsPageTest {

  private static final Path PAGE = Path.of("..", "docs", "operators.md");

  private static List<String> examples() throws IOException {
    List<String> examples = new ArrayList<>();
    boolean inside = false;
    for (String line : Files.readAllLines(PAGE)) {
      if (line.startsWith("```")) {
        inside = line.equals("```commands");
      } else if (inside) {
        examples.add(line);
      }
    }
    return examples;
  }

  @Test
  void every_example_is_a_command_in_its_printed_form() throws IOException {
    assertThat(examples().size(), greaterThan(15));
    for (String example : examples()) {
      assertThat(CommandParser.parse(example).map(CommandPrinter::print).get(), is(example));
    }
  }
}
