import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the time since its start. */
final class Recorder implements AutoCloseable {

  private final PrintWriter writer;
  private final long startedAt = System.nanoTime();

  Recorder(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void line(String text) {
    writer.printf("%7d ms  %s%n", (System.nanoTime() - startedAt) / 1_000_000, text);
    writer.flush();
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
