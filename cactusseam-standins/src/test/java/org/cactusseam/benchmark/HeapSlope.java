package org.cactusseam.benchmark;

import java.util.ArrayList;
import java.util.List;

/** Heap in use at several numbers of open streams, with the slope by least squares. */
final class HeapSlope {

  private record Point(int streams, long bytes) {}

  private final List<Point> points = new ArrayList<>();

  void add(int streams, long bytes) {
    points.add(new Point(streams, bytes));
  }

  long last() {
    return points.getLast().bytes();
  }

  /** Returns the heap of one more stream, in bytes. */
  double slope() {
    double streams = points.stream().mapToInt(Point::streams).average().orElseThrow();
    double bytes = points.stream().mapToLong(Point::bytes).average().orElseThrow();
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.streams() - streams) * (point.bytes() - bytes);
      variance += (point.streams() - streams) * (point.streams() - streams);
    }
    return covariance / variance;
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    points.forEach(
        point ->
            text.append(
                "heap: streams=%d kb=%d%n".formatted(point.streams(), point.bytes() / 1024)));
    return text.append("heap: kb_per_stream=%.1f".formatted(slope() / 1024)).toString();
  }
}
