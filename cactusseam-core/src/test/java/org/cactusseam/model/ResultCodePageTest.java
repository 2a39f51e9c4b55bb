package org.cactusseam.model;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Guards against documentation of the result codes that differs from the enum, and against two
 * codes with the same number.
 */
class ResultCodePageTest {

  private static final Path PAGE = Path.of("..", "docs", "result-codes.md");

  private static String row(ResultCode code) {
    return "| "
        + code.number()
        + " | `"
        + code.name()
        + "` | "
        + code.httpStatus()
        + " | `"
        + code.execution().name().toLowerCase(Locale.ROOT)
        + "` |";
  }

  @Test
  void the_page_lists_every_code_and_no_other() throws IOException {
    List<String> rows =
        Files.readAllLines(PAGE).stream()
            .filter(line -> line.matches("\\| [0-9].*"))
            .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2) + 1))
            .toList();

    assertThat(rows, is(Arrays.stream(ResultCode.values()).map(ResultCodePageTest::row).toList()));
  }

  @Test
  void numbers_are_unique() {
    Set<Integer> numbers =
        Arrays.stream(ResultCode.values()).map(ResultCode::number).collect(Collectors.toSet());

    assertThat(numbers, hasSize(ResultCode.values().length));
  }
}
