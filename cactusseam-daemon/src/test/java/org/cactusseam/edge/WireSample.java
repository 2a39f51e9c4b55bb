package org.cactusseam.edge;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A message or record as an earlier version encoded it.
 *
 * @param name name of the sample in test reports
 * @param encoded JSON text, or MessagePack bytes in hexadecimal digits
 */
public record WireSample(String name, String encoded) {

  /**
   * Reads the samples of a file in the resource folder {@code wire-format}.
   *
   * @param file name of the file without {@code .txt}
   * @return samples in the order of the file
   */
  public static List<WireSample> read(String file) {
    try {
      return Resources.readLines(
              Resources.getResource("wire-format/" + file + ".txt"), StandardCharsets.UTF_8)
          .stream()
          .map(line -> line.split(" ", 2))
          .map(parts -> new WireSample(parts[0], parts[1]))
          .toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public String toString() {
    return name;
  }
}
