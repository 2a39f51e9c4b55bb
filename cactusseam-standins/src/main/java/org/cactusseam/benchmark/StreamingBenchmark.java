package org.cactusseam.benchmark;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;

/** Compares streams from engines with the same streams through one entry daemon. */
public final class StreamingBenchmark {

  private static final List<Double> PERCENTILES = List.of(50.0, 99.0, 99.9);
  private static final Duration SETTLE = Duration.ofSeconds(3);
  private static final Duration HEAP_SAMPLE_INTERVAL = Duration.ofSeconds(20);
  private static final double NANOS_PER_MILLI = 1e6;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Integer> streams = number("streams", "open streams", 1_000);
  private final OptionSpec<Integer> engines = number("engines", "engine processes", 8);
  private final OptionSpec<Integer> interval = number("interval-ms", "time between tokens", 47);
  private final OptionSpec<Integer> seconds = number("seconds", "length of a measurement", 10);
  private final OptionSpec<Integer> warmUp = number("warm-up-seconds", "warm-up of each path", 5);
  private final OptionSpec<Integer> watch =
      number("watch-heap-seconds", "time to watch the heap of the open streams after that", 0);
  private final OptionSpec<String> recording =
      parser.accepts("recording", "Flight Recorder file of the daemon").withRequiredArg();
  private final OptionSpec<String> jvmOption =
      parser
          .accepts("daemon-jvm-option", "option of the daemon's JVM; repeatable")
          .withRequiredArg();
  private final OptionSpec<Path> daemonJar = file("daemon-jar", "jar of the daemon");
  private final OptionSpec<Path> standInJar = file("stand-in-jar", "jar of the stand-ins");
  private final OptionSpec<Path> folder = file("folder", "empty folder for settings and logs");
  private final OptionSpec<Void> help = parser.accepts("help", "show the options").forHelp();

  private StreamingBenchmark() {}

  private OptionSpec<Integer> number(String name, String text, int value) {
    return parser.accepts(name, text).withRequiredArg().ofType(Integer.class).defaultsTo(value);
  }

  private OptionSpec<Path> file(String name, String text) {
    return parser
        .accepts(name, text)
        .withRequiredArg()
        .withValuesConvertedBy(new joptsimple.util.PathConverter())
        .required();
  }

  /**
   * Runs the benchmark and prints its figures.
   *
   * @param arguments options
   * @throws IOException if the options cannot be printed or the folder cannot be made
   */
  public static void main(String[] arguments) throws IOException {
    StreamingBenchmark benchmark = new StreamingBenchmark();
    OptionSet options = benchmark.parser.parse(arguments);
    if (options.has(benchmark.help)) {
      benchmark.parser.printHelpOn(System.out);
    } else {
      benchmark.run(options);
    }
  }

  private void run(OptionSet options) throws IOException {
    Files.createDirectories(options.valueOf(folder));
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
    // A daemon keeps the permit of an abandoned stream for 30 s, so closed streams still count.
    int perEngine = 3 * Math.ceilDiv(options.valueOf(streams), options.valueOf(engines));
    try (BenchmarkDeployment deployment =
        new BenchmarkDeployment(
            options.valueOf(folder),
            options.valueOf(daemonJar),
            options.valueOf(standInJar),
            options.valueOf(engines),
            perEngine,
            options.valueOf(interval),
            daemonOptions(options))) {
      measure(options, vertx, deployment);
    } finally {
      vertx.close().await();
    }
  }

  private List<String> daemonOptions(OptionSet options) {
    List<String> daemonOptions = new ArrayList<>(List.of("-Xmx256m", "-XX:ActiveProcessorCount=2"));
    List<String> given = options.valuesOf(jvmOption);
    if (given.stream().noneMatch(option -> option.matches("-XX:\\+Use\\w+GC"))) {
      daemonOptions.add("-XX:+UseSerialGC");
    }
    daemonOptions.addAll(given);
    if (options.has(recording)) {
      daemonOptions.add(
          "-XX:StartFlightRecording=settings=profile,filename=" + options.valueOf(recording));
    }
    return daemonOptions;
  }

  private void measure(OptionSet options, Vertx vertx, BenchmarkDeployment deployment) {
    List<Integer> entry = List.of(deployment.callerPort());
    warmUp(options, vertx, deployment.enginePorts());
    warmUp(options, vertx, entry);
    Duration length = Duration.ofSeconds(options.valueOf(seconds));
    int count = options.valueOf(streams);
    HeapSlope heap = new HeapSlope("stream");
    try (StreamLoadGenerator reference = new StreamLoadGenerator(vertx, BenchmarkDeployment.KEY);
        StreamLoadGenerator load = new StreamLoadGenerator(vertx, BenchmarkDeployment.KEY)) {
      heap.add(0, deployment.daemon().heapAfterCollection());
      reference.openUpTo(count / 4, deployment.enginePorts());
      for (int open : List.of(count / 4, count / 2, count)) {
        load.openUpTo(open, entry);
        StreamLoadGenerator.pause(SETTLE);
        heap.add(open, deployment.daemon().heapAfterCollection());
      }
      StreamLoadGenerator.pause(SETTLE);
      List<Result> results = window(List.of(reference, load), deployment, length);
      print("direct", results.getFirst());
      print("through", results.getLast());
      printAdded(results.getFirst(), results.getLast());
      System.out.println(heap);
      long after = deployment.daemon().heapAfterCollection();
      System.out.printf(
          "heap: after_window_kb=%d growth_in_window_kb=%d%n",
          after / 1024, (after - heap.last()) / 1024);
      watchHeap(load, deployment, Duration.ofSeconds(options.valueOf(watch)));
    }
  }

  /** Shows whether the heap grows while the same streams go on. */
  private static void watchHeap(
      StreamLoadGenerator load, BenchmarkDeployment deployment, Duration length) {
    if (length.isZero()) {
      return;
    }
    HeapSlope heap = new HeapSlope("second");
    long start = System.nanoTime();
    Duration elapsed = Duration.ZERO;
    while (elapsed.compareTo(length) <= 0) {
      heap.add(elapsed.toSeconds(), deployment.daemon().heapAfterCollection());
      StreamLoadGenerator.pause(HEAP_SAMPLE_INTERVAL);
      elapsed = Duration.ofNanos(System.nanoTime() - start);
    }
    System.out.println(heap);
    System.out.printf(
        "heap: watched_s=%d growth_kb=%d held=%d faults=%d%n",
        elapsed.toSeconds(),
        (heap.last() - heap.first()) / 1024,
        load.countActive(),
        load.faults().size());
  }

  private void warmUp(OptionSet options, Vertx vertx, List<Integer> ports) {
    try (StreamLoadGenerator load = new StreamLoadGenerator(vertx, BenchmarkDeployment.KEY)) {
      load.openUpTo(options.valueOf(streams) / 4, ports);
      StreamLoadGenerator.pause(Duration.ofSeconds(options.valueOf(warmUp)));
    }
    StreamLoadGenerator.pause(SETTLE);
  }

  /** Figures of one window; the processor time is that of the daemon. */
  private record Result(
      Histogram first, Histogram between, long tokens, long held, Duration cpu, Duration length) {}

  /** Measures both paths in the same window, so that both see the same load of the machine. */
  private static List<Result> window(
      List<StreamLoadGenerator> loads, BenchmarkDeployment deployment, Duration length) {
    loads.forEach(StreamLoadGenerator::restart);
    Duration before = deployment.daemon().processorTime();
    long start = System.nanoTime();
    StreamLoadGenerator.pause(length);
    Duration cpu = deployment.daemon().processorTime().minus(before);
    Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
    return loads.stream().map(load -> result(load, cpu, elapsed)).toList();
  }

  private static Result result(StreamLoadGenerator load, Duration cpu, Duration elapsed) {
    load.faults().stream().limit(3).forEach(fault -> System.out.println("fault: " + fault));
    System.out.println("faults=" + load.faults().size());
    return new Result(
        load.firstToken(), load.betweenTokens(), load.tokens(), load.countActive(), cpu, elapsed);
  }

  private static void print(String path, Result result) {
    System.out.printf(
        "%s: held=%d tokens_per_s=%.0f%n",
        path, result.held(), result.tokens() * 1e9 / result.length().toNanos());
    for (double percentile : PERCENTILES) {
      System.out.printf(
          "%s: p%s first_token_ms=%.2f between_tokens_ms=%.2f%n",
          path,
          percentile,
          result.first().getValueAtPercentile(percentile) / NANOS_PER_MILLI,
          result.between().getValueAtPercentile(percentile) / NANOS_PER_MILLI);
    }
  }

  private static void printAdded(Result direct, Result through) {
    System.out.printf(
        "daemon: cores=%.2f tokens_per_s_per_core=%.0f%n",
        through.cpu().toNanos() / (double) through.length().toNanos(),
        through.tokens() * 1e9 / through.cpu().toNanos());
    for (double percentile : PERCENTILES) {
      System.out.printf(
          "added: p%s first_token_ms=%.2f between_tokens_ms=%.2f%n",
          percentile,
          difference(direct.first(), through.first(), percentile),
          difference(direct.between(), through.between(), percentile));
    }
  }

  private static double difference(Histogram direct, Histogram through, double percentile) {
    long added = through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile);
    return added / NANOS_PER_MILLI;
  }
}
