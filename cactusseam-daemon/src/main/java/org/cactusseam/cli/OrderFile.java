package org.cactusseam.cli;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusseam.logic.query.Command;
import org.cactusseam.logic.query.CommandError;
import org.cactusseam.logic.query.CommandParser;

/**
 * Reads commands from a text file with one command per line. Empty lines and lines that start with
 * {@code #} are skipped. The whole file is validated before the first command is sent, so that an
 * error in any line prevents all of them.
 */
final class OrderFile {

  private OrderFile() {}

  /**
   * Command with its position in the file.
   *
   * @param place {@code file:line}, or empty for a command from the arguments
   * @param text text of the command
   */
  record Entry(String place, String text) {}

  /**
   * Reads and validates a file.
   *
   * @param file path of the file
   * @return commands in file order, or human-readable messages for all errors
   */
  static Either<List<String>, List<Entry>> read(Path file) {
    List<String> lines;
    try {
      lines = Files.readAllLines(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      return Either.left(List.of(file + ": cannot be read as UTF-8 text"));
    }
    List<String> faults = new ArrayList<>();
    List<Entry> entries = new ArrayList<>();
    for (int number = 1; number <= lines.size(); number++) {
      String line = lines.get(number - 1);
      if (line.isBlank() || line.strip().startsWith("#")) {
        continue;
      }
      Entry entry = new Entry(file + ":" + number, line.strip());
      check(line).ifPresent(fault -> faults.add(entry.place() + ":" + fault));
      entries.add(entry);
    }
    return faults.isEmpty() ? Either.right(entries) : Either.left(faults);
  }

  private static Optional<String> check(String line) {
    Either<CommandError, Command> command = CommandParser.parse(line);
    if (command.isLeft()) {
      CommandError error = command.getLeft();
      String expected = String.join(" or ", error.expected());
      return Optional.of(error.column() + ": expected " + expected + ", found " + error.found());
    }
    return command.get() instanceof Command.Order
        ? Optional.empty()
        : Optional.of("1: the command changes nothing; use 'cactusseam query'");
  }
}
