package org.cactusseam.logic.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The decisions on one request in their order, each with the view that it was based on. */
public final class Explanation {

  private static final Set<String> END_EVENTS = Set.of("ended", "request_ended", "request_refused");

  private final String request;
  private final List<LogLine> lines;

  /**
   * Creates an explanation.
   *
   * @param request identity of the request
   * @param lines lines of all processes; those of one process in the order in which it wrote them
   */
  public Explanation(String request, List<LogLine> lines) {
    this.request = request;
    this.lines = List.copyOf(lines);
  }

  /**
   * Tells the course of the request.
   *
   * @return lines of text, empty if no process has logged the request
   */
  public List<String> toLines() {
    List<LogLine> own =
        lines.stream().filter(line -> line.request().filter(request::equals).isPresent()).toList();
    if (own.isEmpty()) {
      return List.of();
    }
    ClockOffsets clocks = new ClockOffsets(lines, own.getFirst().source());
    Map<LogLine, String> views = views();
    List<LogLine> ordered = own.stream().sorted(Comparator.comparing(clocks::corrected)).toList();
    Instant start = clocks.corrected(ordered.getFirst());
    List<String> text = new ArrayList<>();
    text.add("request " + request + ": " + ordered.size() + " lines, starts at " + start);
    tellClocks(ordered, clocks, text);
    for (LogLine line : ordered) {
      long after = Duration.between(start, clocks.corrected(line)).toMillis();
      text.add(String.format("%+8d ms  %s  %s%s", after, line.source(), line.event(), rest(line)));
      Optional.ofNullable(views.get(line)).ifPresent(view -> text.add(" ".repeat(13) + view));
    }
    text.add(end(ordered));
    return text;
  }

  private Map<LogLine, String> views() {
    Map<String, ProcessState> processes = new HashMap<>();
    Map<LogLine, String> views = new HashMap<>();
    for (LogLine line : lines) {
      ProcessState view = processes.computeIfAbsent(line.source(), source -> new ProcessState());
      view.apply(line);
      if (line.request().filter(request::equals).isPresent()) {
        view.behind(line).ifPresent(behind -> views.put(line, behind));
      }
    }
    return views;
  }

  private static void tellClocks(List<LogLine> ordered, ClockOffsets clocks, List<String> text) {
    Set<String> sources =
        ordered.stream().map(LogLine::source).collect(Collectors.toCollection(LinkedHashSet::new));
    for (String source : sources) {
      Duration offset = clocks.of(source);
      if (!offset.isZero()) {
        text.add("clock of " + source + " corrected by " + -offset.toMillis() + " ms");
      }
    }
  }

  private static String rest(LogLine line) {
    return line.fields().entrySet().stream()
        .filter(field -> !field.getKey().equals("request"))
        .map(field -> "  " + field.getKey() + "=" + field.getValue())
        .collect(Collectors.joining());
  }

  private static String end(List<LogLine> ordered) {
    return ordered.stream()
        .filter(line -> END_EVENTS.contains(line.event()))
        .reduce((earlier, later) -> later)
        .map(line -> "end:" + rest(line))
        .orElse("no end: the request still ran, its process ended, or lines were dropped");
  }
}
