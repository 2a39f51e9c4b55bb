package org.cactusseam.system;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * Runs calls in threads of their own. In the common pool, the number of calls at the same time
 * would depend on the processors of the machine and on other tests.
 */
final class BackgroundCalls {

  private static final Executor THREADS = task -> Thread.ofVirtual().start(task);

  private BackgroundCalls() {}

  static <T> CompletableFuture<T> call(Supplier<T> call) {
    return CompletableFuture.supplyAsync(call, THREADS);
  }
}
