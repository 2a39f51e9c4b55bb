package org.cactusseam.system;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cactusseam.standin.engine.TokenText;

/** Callers that send one short request after another to each daemon, until they are stopped. */
final class BackgroundCallers implements AutoCloseable {

  private static final int TOKENS = 3;
  private static final Duration PAUSE = Duration.ofMillis(40);

  private record Done(String entry, long startedAt, ModelCall call) {}

  private final SystemUnderTest system;
  private final Queue<Done> done = new ConcurrentLinkedQueue<>();
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
      ModelCall call = new ModelCall(entry + " " + number, TOKENS).send(system.port(entry));
      done.add(new Done(entry, startedAt, call));
      Eventually.pause(PAUSE);
    }
  }

  /** Counts the whole answers of a daemon to requests that were sent within a time. */
  long whole(String entry, long fromMillis, long toMillis) {
    return done.stream()
        .filter(one -> one.entry.equals(entry) && one.call.whole)
        .filter(one -> one.startedAt >= fromMillis && one.startedAt < toMillis)
        .count();
  }

  /** Returns the answers that are neither whole and right nor a refusal with a number. */
  List<String> wrongAnswers() {
    return done.stream()
        .filter(one -> !isRight(one.call))
        .map(one -> one.entry + " " + one.call.problems + one.call.error + one.call.text)
        .toList();
  }

  private static boolean isRight(ModelCall call) {
    boolean whole =
        call.whole && call.text.toString().equals(TokenText.whole(call.prompt, call.tokens));
    boolean refused = call.error.filter(text -> text.contains("\"code\":")).isPresent();
    return call.problems.isEmpty() && (whole || !call.whole && refused);
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
