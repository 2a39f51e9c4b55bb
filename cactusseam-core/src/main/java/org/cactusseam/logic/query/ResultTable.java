package org.cactusseam.logic.query;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Result of a query as a table.
 *
 * @param columns names of the columns
 * @param rows rows with one cell per column
 */
public record ResultTable(List<String> columns, List<List<Cell>> rows) {

  private static final String GAP = "  ";

  /** A value in a table. */
  public sealed interface Cell {}

  /**
   * A text value, aligned to the left.
   *
   * @param value text, which may contain control characters
   */
  public record Text(String value) implements Cell {

    @Override
    public String toString() {
      return value;
    }
  }

  /**
   * An integer value, aligned to the right.
   *
   * @param value integer
   */
  public record Number(long value) implements Cell {

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /**
   * Creates a table with immutable copies of the lists.
   *
   * @throws IllegalArgumentException if the number of cells in a row differs from the number of
   *     columns
   */
  public ResultTable {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
    for (List<Cell> row : rows) {
      if (row.size() != columns.size()) {
        throw new IllegalArgumentException(
            "row with " + row.size() + " cells under " + columns.size() + " columns");
      }
    }
  }

  /**
   * Creates a row.
   *
   * @param values integers, or other values, which are converted by {@link Object#toString}
   * @return cells of the row
   */
  public static List<Cell> row(Object... values) {
    List<Cell> cells = new ArrayList<>();
    for (Object value : values) {
      boolean isNumber = value instanceof Long || value instanceof Integer;
      cells.add(
          isNumber
              ? new Number(((java.lang.Number) value).longValue())
              : new Text(value.toString()));
    }
    return cells;
  }

  /**
   * Formats the table as aligned text for a terminal.
   *
   * @return text in which each line ends with a line break; the first line contains the names of
   *     the columns
   */
  public String toText() {
    List<Integer> widths = new ArrayList<>();
    for (int column = 0; column < columns.size(); column++) {
      widths.add(width(column));
    }
    StringBuilder text = new StringBuilder();
    appendLine(text, columns.stream().<Cell>map(Text::new).toList(), widths);
    rows.forEach(row -> appendLine(text, row, widths));
    return text.toString();
  }

  private int width(int column) {
    List<Integer> lengths =
        rows.stream()
            .map(row -> replaceControlCharacters(row.get(column)).length())
            .collect(Collectors.toCollection(ArrayList::new));
    lengths.add(columns.get(column).length());
    return Collections.max(lengths);
  }

  private static String replaceControlCharacters(Cell cell) {
    // Line breaks and escape sequences in a value could forge rows on a terminal.
    return cell.toString().replaceAll("\\p{Cntrl}", "?");
  }

  private static void appendLine(StringBuilder text, List<Cell> cells, List<Integer> widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < cells.size(); column++) {
      String value = replaceControlCharacters(cells.get(column));
      String padding = " ".repeat(widths.get(column) - value.length());
      boolean right = cells.get(column) instanceof Number;
      line.append(column == 0 ? "" : GAP).append(right ? padding + value : value + padding);
    }
    text.append(line.toString().stripTrailing()).append('\n');
  }
}
