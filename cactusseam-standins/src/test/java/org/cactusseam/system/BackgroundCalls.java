package org.cactusseam.system;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Runs each call in its own virtual thread. In the common pool, the number of concurrent calls
 * would depend on the number of processors and on other tests.
 */
final class BackgroundCalls {

  private static final Executor THREADS = task -> Thread.ofVirtual().start(task);

  private BackgroundCalls() {}

  static <T> CompletableFuture<T> callAsync(Supplier<T> call) {
    return CompletableFuture.supplyAsync(call, THREADS);
  }
}
