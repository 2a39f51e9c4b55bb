package org.cactusseam.logic.replay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against traces that lose or change data when they are written to text and read back. */
class TraceFormatTest {

  @Test
  void a_written_trace_is_read_back_line_by_line() throws IOException {
    List<TraceLine> trace =
        TraceGenerator.generate(Deployment.flagline(), TraceShape.CALM, 3, true);
    StringWriter text = new StringWriter();

    TraceFormat.write(trace, text);

    assertThat(text.toString().lines().count(), is((long) trace.size()));
    assertThat(TraceFormat.read(new StringReader(text.toString())), is(trace));
  }

  @Test
  void a_line_is_one_json_object_with_its_type() throws IOException {
    StringWriter text = new StringWriter();

    TraceFormat.write(List.of(new TraceLine.DomainOut(5, "ost-graz")), text);

    assertThat(
        text.toString(), is("{\"type\":\"domain_out\",\"at_millis\":5,\"domain\":\"ost-graz\"}\n"));
  }

  @ParameterizedTest(name = "{0}")
  @ValueSource(
      strings = {"{\"type\":\"unknown\"}", "{\"type\":\"domain_in\",\"at\":1}", "{", "[1]"})
  void a_malformed_line_is_rejected(String line) {
    assertThrows(IOException.class, () -> TraceFormat.read(new StringReader(line)));
  }
}
