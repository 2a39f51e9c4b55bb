package org.cactusseam.system;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cactusseam.standin.engine.TokenText;

/** Clients that send short requests sequentially to each daemon until they are closed. */
final class BackgroundCallers implements AutoCloseable {

  private static final int OUTPUT_TOKENS = 3;
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(40);

  private record CompletedCall(String entry, long startedAt, ModelCall call) {}

  private final SystemUnderTest system;
  private final Queue<CompletedCall> completedCalls = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  BackgroundCallers(SystemUnderTest system, List<String> entries) {
    this.system = system;
    for (String entry : entries) {
      threads.add(Thread.ofVirtual().start(() -> run(entry)));
    }
  }

  private void run(String entry) {
    for (int number = 0; !stopped; number++) {
      long startedAt = System.currentTimeMillis();
      ModelCall call = new ModelCall(entry + " " + number, OUTPUT_TOKENS).send(system.port(entry));
      completedCalls.add(new CompletedCall(entry, startedAt, call));
      Eventually.pause(REQUEST_INTERVAL);
    }
  }

  /**
   * Returns the number of complete responses from a daemon to requests that were sent from {@code
   * fromMillis} (inclusive) to {@code toMillis} (exclusive).
   */
  long countComplete(String entry, long fromMillis, long toMillis) {
    return completedCalls.stream()
        .filter(completed -> completed.entry.equals(entry) && completed.call.complete)
        .filter(completed -> completed.startedAt >= fromMillis && completed.startedAt < toMillis)
        .count();
  }

  /**
   * Returns the responses that are neither complete and correct nor a refusal with an error code.
   */
  List<String> findWrongAnswers() {
    return completedCalls.stream()
        .filter(completed -> !isCorrect(completed.call))
        .map(
            completed ->
                completed.entry
                    + " "
                    + completed.call.problems
                    + completed.call.error
                    + completed.call.text)
        .toList();
  }

  private static boolean isCorrect(ModelCall call) {
    boolean complete =
        call.complete
            && call.text.toString().equals(TokenText.fullOutput(call.prompt, call.tokens));
    boolean refused = call.error.filter(text -> text.contains("\"code\":")).isPresent();
    return call.problems.isEmpty() && (complete || !call.complete && refused);
  }

  @Override
  public void close() {
    stopped = true;
    for (Thread thread : threads) {
      try {
        thread.join(Duration.ofSeconds(30));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException(e);
      }
    }
  }
}
