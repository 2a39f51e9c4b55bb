import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run. */
final class RunRecord implements AutoCloseable {

  private final PrintWriter file;
  private final long startedAt = System.nanoTime();

  RunRecord(Path path) throws IOException {
    file = new PrintWriter(Files.newBufferedWriter(path), true);
  }

  synchronized void add(String line) {
    file.printf("%7d ms  %s%n", (System.nanoTime() - startedAt) / 1_000_000, line);
  }

  @Override
  public void close() {
    file.close();
  }
}
