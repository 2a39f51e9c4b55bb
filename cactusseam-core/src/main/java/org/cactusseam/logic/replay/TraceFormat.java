package org.cactusseam.logic.replay;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.Reader;
import java.io.Writer;
import java.util.List;

/** Reads and writes traces as JSON Lines: one JSON object per line, ordered by time. */
public final class TraceFormat {

  private static final JsonMapper MAPPER =
      JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build();
  private static final ObjectReader READER = MAPPER.readerFor(TraceLine.class);
  private static final ObjectWriter WRITER = MAPPER.writerFor(TraceLine.class);

  private TraceFormat() {}

  /**
   * Reads a trace.
   *
   * @param source text of the trace
   * @return trace lines in file order
   * @throws IOException if reading fails or a line is malformed
   */
  public static List<TraceLine> read(Reader source) throws IOException {
    try (MappingIterator<TraceLine> lines = READER.readValues(source)) {
      return lines.readAll();
    }
  }

  /**
   * Writes a trace.
   *
   * @param trace trace lines, ordered by time
   * @param target receives the text; it is not closed
   * @throws IOException if writing fails
   */
  public static void write(List<TraceLine> trace, Writer target) throws IOException {
    for (TraceLine line : trace) {
      target.write(WRITER.writeValueAsString(line));
      target.write('\n');
    }
  }
}
