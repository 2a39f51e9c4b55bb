package org.cactusseam.logic.query;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Answer to a query: rows of cells under named columns.
 *
 * @param columns names of the columns
 * @param rows rows with one cell for each column
 */
public record ResultTable(List<String> columns, List<List<Cell>> rows) {

  private static final String GAP = "  ";

  /** A value of an answer. */
  public sealed interface Cell {}

  /**
   * A text.
   *
   * @param value text
   */
  public record Text(String value) implements Cell {

    @Override
    public String toString() {
      return value;
    }
  }

  /**
   * A whole number; tables align it to the right.
   *
   * @param value number
   */
  public record Number(long value) implements Cell {

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /** Copies the lists and checks the number of cells. */
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
   * Makes a row.
   *
   * @param values texts, whole numbers or other values, which are shown by their text
   * @return cells
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
   * Writes an aligned table for people.
   *
   * @return lines that each end with a line break; the first has the names of the columns
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
            .map(row -> printable(row.get(column)).length())
            .collect(Collectors.toCollection(ArrayList::new));
    lengths.add(columns.get(column).length());
    return Collections.max(lengths);
  }

  private static String printable(Cell cell) {
    // Line breaks and escape sequences would let a value forge rows on a terminal.
    return cell.toString().replaceAll("\\p{Cntrl}", "?");
  }

  private static void appendLine(StringBuilder text, List<Cell> cells, List<Integer> widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < cells.size(); column++) {
      String value = printable(cells.get(column));
      String padding = " ".repeat(widths.get(column) - value.length());
      boolean right = cells.get(column) instanceof Number;
      line.append(column == 0 ? "" : GAP).append(right ? padding + value : value + padding);
    }
    text.append(line.toString().stripTrailing()).append('\n');
  }
}
