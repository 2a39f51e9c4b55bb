package org.cactusseam.edge.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against differences between {@code docs/settings.md} and the loader in keys, values or
 * defaults, and against an invalid example on that page.
 */
class SettingsPageTest {

  private static final Path PAGE = Path.of("..", "docs", "settings.md");

  private static String row(SettingKey<?> key) {
    String defaultText =
        switch (key.presence()) {
          case REQUIRED -> "required";
          case OPTIONAL -> "none";
          case DEFAULTED -> "`" + key.defaultText().orElseThrow() + "`";
        };
    return "| `" + key.path() + "` | " + key.type().expected() + " | " + defaultText + " |";
  }

  @Test
  void the_page_lists_every_key_with_its_values_and_default_and_no_other() throws IOException {
    List<String> rows =
        Files.readAllLines(PAGE).stream()
            .filter(line -> line.startsWith("| `"))
            .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2) + 1))
            .toList();

    assertThat(rows, is(SettingsKeys.ALL.stream().map(SettingsPageTest::row).toList()));
  }

  @Test
  void every_default_is_a_valid_value() {
    List<String> faulty =
        SettingsKeys.ALL.stream()
            .filter(
                key ->
                    key.defaultText().isPresent()
                        && key.defaultText().flatMap(key.type().parser()).isEmpty())
            .map(SettingKey::path)
            .toList();

    assertThat(faulty, is(List.of()));
  }

  @Test
  void the_example_of_the_page_is_valid(@TempDir Path directory) throws IOException {
    String page = Files.readString(PAGE);
    int start = page.indexOf("```yaml\n") + "```yaml\n".length();
    Path file = directory.resolve("settings.yaml");
    Files.writeString(file, page.substring(start, page.indexOf("```", start)));
    Files.writeString(directory.resolve("cluster.key"), "k".repeat(32));
    Files.writeString(directory.resolve("operators"), "resi " + "0".repeat(64));

    Either<List<SettingsFault>, Settings> settings = SettingsLoader.load(file);

    assertThat(settings.isRight(), is(true));
  }
}
