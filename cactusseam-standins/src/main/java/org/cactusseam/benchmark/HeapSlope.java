package org.cactusseam.benchmark;

import java.util.ArrayList;
import java.util.List;

/**
 * Series of heap usage over a quantity such as the number of streams, with the slope of its
 * least-squares line.
 */
final class HeapSlope {

  private record Point(long quantity, long bytes) {}

  private final String unit;
  private final List<Point> points = new ArrayList<>();

  /**
   * Creates a series without points.
   *
   * @param unit unit of the quantity in the singular, which appears in the printed names
   */
  HeapSlope(String unit) {
    this.unit = unit;
  }

  void add(long quantity, long bytes) {
    points.add(new Point(quantity, bytes));
  }

  long first() {
    return points.getFirst().bytes();
  }

  long last() {
    return points.getLast().bytes();
  }

  /** Returns the additional heap usage per unit, in bytes. */
  double slope() {
    double quantity = points.stream().mapToLong(Point::quantity).average().orElseThrow();
    double bytes = points.stream().mapToLong(Point::bytes).average().orElseThrow();
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.quantity() - quantity) * (point.bytes() - bytes);
      variance += (point.quantity() - quantity) * (point.quantity() - quantity);
    }
    return covariance / variance;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    points.forEach(
        point ->
            text.append(
                "heap: %ss=%d kb=%d%n".formatted(unit, point.quantity(), point.bytes() / 1024)));
    return text.append("heap: kb_per_%s=%.2f".formatted(unit, slope() / 1024)).toString();
  }
}
