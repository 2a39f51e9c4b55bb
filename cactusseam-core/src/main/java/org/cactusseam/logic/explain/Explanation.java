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

/**
 * Report on the decisions about one request in chronological order, each with the state that its
 * process knew at that time.
 */
public final class Explanation {

  private static final Set<String> END_EVENTS = Set.of("ended", "request_ended", "request_refused");

  private final String request;
  private final List<LogLine> lines;

  /**
   * Creates a report.
   *
   * @param request identity of the request
   * @param lines log lines of all processes; the lines of one process must be in the order in which
   *     it wrote them
   */
  public Explanation(String request, List<LogLine> lines) {
    this.request = request;
    this.lines = List.copyOf(lines);
  }

  /**
   * Formats the report.
   *
   * @return lines of text; empty if no process logged the request
   */
  public List<String> toLines() {
    List<LogLine> requestLines =
        lines.stream().filter(line -> line.request().filter(request::equals).isPresent()).toList();
    if (requestLines.isEmpty()) {
      return List.of();
    }
    ClockOffsets clocks = new ClockOffsets(lines, requestLines.getFirst().source());
    Map<LogLine, String> states = describeStates();
    List<LogLine> ordered =
        requestLines.stream().sorted(Comparator.comparing(clocks::corrected)).toList();
    Instant start = clocks.corrected(ordered.getFirst());
    List<String> text = new ArrayList<>();
    text.add("request " + request + ": " + ordered.size() + " lines, starts at " + start);
    addClockCorrections(ordered, clocks, text);
    for (LogLine line : ordered) {
      long elapsedMillis = Duration.between(start, clocks.corrected(line)).toMillis();
      text.add(
          String.format(
              "%+8d ms  %s  %s%s", elapsedMillis, line.source(), line.event(), formatFields(line)));
      Optional.ofNullable(states.get(line)).ifPresent(state -> text.add(" ".repeat(13) + state));
    }
    text.add(formatEnd(ordered));
    return text;
  }

  private Map<LogLine, String> describeStates() {
    Map<String, ProcessState> processes = new HashMap<>();
    Map<LogLine, String> states = new HashMap<>();
    for (LogLine line : lines) {
      ProcessState state = processes.computeIfAbsent(line.source(), source -> new ProcessState());
      state.apply(line);
      if (line.request().filter(request::equals).isPresent()) {
        state.describeStateAt(line).ifPresent(description -> states.put(line, description));
      }
    }
    return states;
  }

  private static void addClockCorrections(
      List<LogLine> ordered, ClockOffsets clocks, List<String> text) {
    Set<String> sources =
        ordered.stream().map(LogLine::source).collect(Collectors.toCollection(LinkedHashSet::new));
    for (String source : sources) {
      Duration offset = clocks.of(source);
      if (!offset.isZero()) {
        text.add("clock of " + source + " corrected by " + -offset.toMillis() + " ms");
      }
    }
  }

  private static String formatFields(LogLine line) {
    return line.fields().entrySet().stream()
        .filter(field -> !field.getKey().equals("request"))
        .map(field -> "  " + field.getKey() + "=" + field.getValue())
        .collect(Collectors.joining());
  }

  private static String formatEnd(List<LogLine> ordered) {
    return ordered.stream()
        .filter(line -> END_EVENTS.contains(line.event()))
        .reduce((earlier, later) -> later)
        .map(line -> "end:" + formatFields(line))
        .orElse("no end: the request still ran, its process ended, or lines were dropped");
  }
}
