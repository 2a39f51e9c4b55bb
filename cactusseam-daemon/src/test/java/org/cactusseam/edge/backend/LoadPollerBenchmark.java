package org.cactusseam.edge.backend;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.ServiceState;

/**
 * Measures the CPU time that a shard owner spends on polling load reports and cache events, four
 * times a second from each server. Only the event loop of the poller counts; the servers run on
 * another event loop of the same process. {@code fit-slopes} reads the output.
 */
final class LoadPollerBenchmark {

  private static final int POLL_INTERVAL_MILLIS = 250;
  private static final int WARM_UP_SECONDS = 8;
  private static final int MEASUREMENT_SECONDS = 10;
  private static final String LOAD =
      "{\"incarnation\":\"i1\",\"state\":\"warm\",\"running\":12,\"waiting\":0,"
          + "\"memory_used_tokens\":812345,\"memory_total_tokens\":1000000,\"preemptions\":3,"
          + "\"role\":\"decode\",\"models\":[\"zopf-1\"],\"adapters\":[],\"versions\":[]}";
  private static final String EVENTS =
      "{\"incarnation\":\"i1\",\"events\":[{\"number\":7,\"type\":\"stored\",\"prefix_hash\":"
          + "\"00000000000000ff\"}]}";

  private LoadPollerBenchmark() {}

  public static void main(String[] arguments) throws Exception {
    Vertx servers = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    // Warms up the JIT compiler, whose work would otherwise show in the first sizes.
    for (int round = 0; round < 2; round++) {
      measure(servers, 64);
    }
    for (int count : List.of(1, 4, 8, 16, 32)) {
      double percent = measure(servers, count);
      System.out.printf(
          "point|load reports and cache events|%d|%.3f|percent of a core%n", count, percent);
    }
    servers.close().await();
  }

  private static double measure(Vertx servers, int count) throws Exception {
    List<BackendServer> targets = new ArrayList<>();
    for (int number : IntStream.range(0, count).toArray()) {
      targets.add(server(number, listen(servers)));
    }
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    Context loop = vertx.getOrCreateContext();
    CompletableFuture<Long> thread = new CompletableFuture<>();
    CompletableFuture<Long> timer = new CompletableFuture<>();
    List<Integer> answers = new ArrayList<>();
    loop.runOnContext(
        ignored -> {
          thread.complete(Thread.currentThread().threadId());
          LoadPoller poller = new LoadPoller(vertx);
          timer.complete(
              vertx.setPeriodic(POLL_INTERVAL_MILLIS, id -> poll(poller, targets, answers)));
        });
    TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
    long before = cpuNanos(thread.get());
    TimeUnit.SECONDS.sleep(MEASUREMENT_SECONDS);
    double percent = (cpuNanos(thread.get()) - before) / 1e7 / MEASUREMENT_SECONDS;
    CompletableFuture<Boolean> stopped = new CompletableFuture<>();
    loop.runOnContext(ignored -> stopped.complete(vertx.cancelTimer(timer.join())));
    stopped.get();
    vertx.close().await();
    System.out.printf(
        "%d servers: %d answers in %d s%n",
        count, answers.size(), WARM_UP_SECONDS + MEASUREMENT_SECONDS);
    return percent;
  }

  private static void poll(LoadPoller poller, List<BackendServer> targets, List<Integer> answers) {
    for (BackendServer target : targets) {
      poller.poll(target).onSuccess(report -> answers.add(report.running()));
      poller.fetchCacheEvents(target, 7).onSuccess(events -> answers.add(events.size()));
    }
  }

  private static long cpuNanos(long thread) {
    return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread);
  }

  private static int listen(Vertx vertx) {
    return vertx
        .createHttpServer()
        .requestHandler(
            request -> request.response().end("/load".equals(request.path()) ? LOAD : EVENTS))
        .listen(0, "127.0.0.1")
        .await()
        .actualPort();
  }

  private static BackendServer server(int number, int port) {
    return new BackendServer(
        new BackendServerName("server-" + number),
        new PoolName("pool"),
        new FailureDomainName("domain"),
        BackendKind.ENGINE,
        "127.0.0.1",
        port,
        true,
        2,
        64,
        1_000_000,
        ServiceState.IN);
  }
}
