package org.cactusseam.logic.replay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the saved format of traces and reports, for example by renaming a Java
 * component. The tests compare the JSON with fixed samples.
 */
class TraceWireFormatTest {

  private static final String TRACE =
      """
      {"type":"domain_out","at_millis":5,"domain":"ost-wien"}
      {"type":"request","at_millis":6,"account":"salon","priority_class":"standard",\
      "route":"letters","region":"ost","prompt_tokens":12,"prefix":[5,-6],"output_tokens":100,\
      "repeatable":true,"begin_millis":1600,"deadline_millis":30000,"rare":true}
      {"type":"server_cold","at_millis":7,"server":"llm-1"}
      {"type":"domain_in","at_millis":8,"domain":"ost-wien"}
      """;

  private static final String REPORT =
      """
      {"cold_violations":1,"crashes":2,"rows":[{"kind":"total","name":"all","requests":3,\
      "refused":4,"failed":5,"preemptions":6,"stall_millis":7,"gap_p95":8.5,"gap_p99":9.5,\
      "gap_p999":10.5,"first_p50":11.5,"first_p95":12.5,"first_p99":13.5,"rare_p95":14.5,\
      "good_requests":15,"good_tokens":16,"begun_while_out":17,"begun_while_returning":18,\
      "cross_region_bytes":19}]}""";

  @Test
  void the_json_of_a_trace_is_unchanged() throws IOException {
    List<TraceLine> lines = TraceFormat.read(new StringReader(TRACE));
    StringWriter written = new StringWriter();

    TraceFormat.write(lines, written);

    assertThat(written.toString(), is(TRACE));
    assertThat(
        lines.stream().map(Object::getClass).collect(Collectors.toSet()),
        is(Set.of(TraceLine.class.getPermittedSubclasses())));
  }

  @Test
  void the_json_of_a_report_is_unchanged() {
    ReplayReport.Row row =
        new ReplayReport.Row(
            "total", "all", 3, 4, 5, 6, 7, 8.5, 9.5, 10.5, 11.5, 12.5, 13.5, 14.5, 15, 16, 17, 18,
            19);

    assertThat(new ReplayReport(1, 2, List.of(row)).toJson(), is(REPORT));
  }
}
