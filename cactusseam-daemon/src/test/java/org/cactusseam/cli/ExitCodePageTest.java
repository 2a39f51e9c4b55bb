package org.cactusseam.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against differences between the exit codes in {@code docs/operators.md} and those of the
 * command line.
 */
class ExitCodePageTest {

  @Test
  void the_page_lists_every_exit_code_and_no_other() throws IOException {
    List<String> rows =
        Files.readAllLines(Path.of("..", "docs", "operators.md")).stream()
            .filter(line -> line.matches("\\| [0-9] .*"))
            .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2) + 1))
            .toList();

    List<String> wanted =
        Arrays.stream(ExitCode.values())
            .map(code -> "| " + code.number() + " | `" + code.name() + "` |")
            .toList();
    assertThat(rows, is(wanted));
  }
}
