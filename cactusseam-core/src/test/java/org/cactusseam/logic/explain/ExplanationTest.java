package org.cactusseam.logic.explain;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reports that omit lines, order them incorrectly or do not show stale state. */
class ExplanationTest {

  private static final String LOG =
      """
      time=2026-04-04T21:41:00.000Z level=INFO event=configuration version=4 routes=3
      time=2026-04-04T21:41:01.000Z level=INFO event=server_listed server=e-1 domain=ost-wien
      time=2026-04-04T21:41:02.000Z level=WARN event=store_lost topic=servers cause="refused"
      time=2026-04-04T21:41:03.000Z level=INFO request=r-1 event=sent server=e-1 configuration=4
      time=2026-04-04T21:41:03.100Z level=INFO request=r-2 event=sent server=e-1 configuration=4
      time=2026-04-04T21:41:03.500Z level=INFO event=server_leaving server=e-1 how=REPORTED
      time=2026-04-04T21:41:04.000Z level=INFO request=r-1 event=stream_broken server=e-1 \
      reason="said \\"no\\" = never"
      time=2026-04-04T21:41:04.001Z level=INFO request=r-1 event=ended outcome=broken_off status=200
      """
          .replace("\\\n", "");

  private static List<LogLine> parse(String source, String log) {
    return log.lines().flatMap(line -> LogLine.parse(line, source).stream()).toList();
  }

  private static String report(String request, List<LogLine> lines) {
    return String.join("\n", new Explanation(request, lines).toLines());
  }

  @Test
  void the_lines_of_a_request_are_reported_with_the_state_behind_them() {
    String text = report("r-1", parse("vm-1", LOG));

    assertThat(
        text,
        is(
            """
            request r-1: 3 lines, starts at 2026-04-04T21:41:03Z
                  +0 ms  vm-1  sent  server=e-1  configuration=4
                         configuration in force for 3000 ms; server listed for 2000 ms; \
            store not readable (servers) for 1000 ms
               +1000 ms  vm-1  stream_broken  server=e-1  reason=said "no" = never
                         server known to leave for 500 ms; server listed for 3000 ms; \
            store not readable (servers) for 2000 ms
               +1001 ms  vm-1  ended  outcome=broken_off  status=200
            end:  outcome=broken_off  status=200"""));
  }

  /**
   * When a caller resumes a stream, two daemons serve the same request. Here one of their clocks is
   * a minute ahead.
   */
  @Test
  void lines_of_processes_with_different_clocks_are_sorted() {
    String other =
        """
        time=2026-04-04T21:42:00.020Z level=INFO event=configuration version=4
        time=2026-04-04T21:42:05.000Z level=INFO request=r-1 event=resumed after=e-1
        """;
    List<LogLine> lines =
        Stream.concat(parse("vm-1", LOG).stream(), parse("vm-2", other).stream()).toList();
    String text = report("r-1", lines);

    assertThat(text, containsString("clock of vm-2 corrected by -60020 ms"));
    assertThat(text, containsString("   +1980 ms  vm-2  resumed  after=e-1"));
  }

  /**
   * A configuration change takes some time to reach all processes. This delay must not be mistaken
   * for a clock offset.
   */
  @Test
  void a_late_configuration_change_is_not_corrected_as_a_clock_offset() {
    String other =
        """
        time=2026-04-04T21:41:02.500Z level=INFO event=configuration version=4
        time=2026-04-04T21:41:05.000Z level=INFO request=r-1 event=resumed after=e-1
        """;
    List<LogLine> lines =
        Stream.concat(parse("vm-1", LOG).stream(), parse("vm-2", other).stream()).toList();

    assertThat(report("r-1", lines), containsString("   +2000 ms  vm-2  resumed"));
  }

  @Test
  void a_request_without_an_end_is_reported_as_such() {
    assertThat(report("r-2", parse("vm-1", LOG)), containsString("no end: the request still ran"));
  }

  @Test
  void an_unknown_request_has_no_explanation() {
    assertThat(new Explanation("r-9", parse("vm-1", LOG)).toLines(), is(List.of()));
  }

  @Test
  void a_collector_can_name_the_process_before_the_line() {
    Optional<LogLine> line =
        LogLine.parse("  10.6033 vm-7 time=2026-04-04T21:41:12.603Z level=INFO event=x", "file");

    assertThat(line.map(LogLine::source), is(Optional.of("vm-7")));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "time=", "time=now event=x", "Exception in thread", "event=x"})
  void other_text_is_skipped(String text) {
    assertThat(LogLine.parse(text, "file"), is(Optional.empty()));
  }
}
