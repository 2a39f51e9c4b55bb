package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Verifies that every test named in {@code docs/guarantees.md} exists. */
class GuaranteesPageTest {

  private static final Pattern TEST_NAME = Pattern.compile("`(\\w+Test)`");

  @Test
  void every_test_that_the_page_names_exists() throws IOException {
    Path root = Path.of("").toAbsolutePath().getParent();
    String page = Files.readString(root.resolve("docs/guarantees.md"));
    Set<String> named =
        TEST_NAME.matcher(page).results().map(match -> match.group(1)).collect(Collectors.toSet());
    Set<String> missing = new TreeSet<>(named);

    try (Stream<Path> files = Files.walk(root)) {
      files
          .filter(file -> file.toString().contains("src/test/java"))
          .map(file -> file.getFileName().toString().replace(".java", ""))
          .forEach(missing::remove);
    }

    assertThat(named.size(), greaterThan(5));
    assertThat(missing, empty());
  }
}
