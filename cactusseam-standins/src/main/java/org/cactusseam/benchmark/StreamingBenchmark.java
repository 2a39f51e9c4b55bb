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

/**
 * Measures the latency, throughput and heap usage that one entry daemon adds to streams, compared
 * with the same streams directly from the engines.
 */
public final class StreamingBenchmark {

  private static final List<Double> PERCENTILES = List.of(50.0, 99.0, 99.9);
  private static final Duration SETTLING_TIME = Duration.ofSeconds(3);
  private static final Duration HEAP_SAMPLE_INTERVAL = Duration.ofSeconds(20);
  private static final double NANOS_PER_MILLI = 1e6;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Integer> streams =
      integerOption("streams", "number of open streams", 1_000);
  private final OptionSpec<Integer> engines =
      integerOption("engines", "number of engine processes", 8);
  private final OptionSpec<Integer> interval =
      integerOption("interval-ms", "time between tokens of a stream, in milliseconds", 47);
  private final OptionSpec<Integer> seconds =
      integerOption("seconds", "duration of the measurement, in seconds", 10);
  private final OptionSpec<Integer> warmUp =
      integerOption("warm-up-seconds", "duration of the warm-up of each path, in seconds", 5);
  private final OptionSpec<Integer> heapWatchSeconds =
      integerOption(
          "watch-heap-seconds",
          "time to monitor the heap with the streams open after the measurement, in seconds",
          0);
  private final OptionSpec<String> recording =
      parser
          .accepts("recording", "file for a Flight Recorder recording of the daemon")
          .withRequiredArg();
  private final OptionSpec<String> jvmOption =
      parser
          .accepts("daemon-jvm-option", "additional JVM option for the daemon; repeatable")
          .withRequiredArg();
  private final OptionSpec<Path> daemonJar = pathOption("daemon-jar", "JAR file of the daemon");
  private final OptionSpec<Path> standInJar =
      pathOption("stand-in-jar", "JAR file of the stand-ins");
  private final OptionSpec<Path> folder =
      pathOption("folder", "empty folder for settings and logs");
  private final OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();

  private StreamingBenchmark() {}

  private OptionSpec<Integer> integerOption(String name, String text, int value) {
    return parser.accepts(name, text).withRequiredArg().ofType(Integer.class).defaultsTo(value);
  }

  private OptionSpec<Path> pathOption(String name, String text) {
    return parser
        .accepts(name, text)
        .withRequiredArg()
        .withValuesConvertedBy(new joptsimple.util.PathConverter())
        .required();
  }

  /**
   * Runs the benchmark and prints its results.
   *
   * @param arguments command-line options
   * @throws IOException if the help cannot be printed or the folder cannot be created
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
    // The daemon holds the permit of an abandoned stream for 30 s, so closed streams still occupy
    // capacity of the engines; hence three times the number of open streams.
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
    try (StreamLoadGenerator reference =
            new StreamLoadGenerator(vertx, BenchmarkDeployment.CALLER_KEY);
        StreamLoadGenerator load = new StreamLoadGenerator(vertx, BenchmarkDeployment.CALLER_KEY)) {
      heap.add(0, deployment.daemon().measureUsedHeap());
      reference.openUpTo(count / 4, deployment.enginePorts());
      for (int open : List.of(count / 4, count / 2, count)) {
        load.openUpTo(open, entry);
        StreamLoadGenerator.pause(SETTLING_TIME);
        heap.add(open, deployment.daemon().measureUsedHeap());
      }
      StreamLoadGenerator.pause(SETTLING_TIME);
      List<Result> results = measureWindow(List.of(reference, load), deployment, length);
      printResult("direct", results.getFirst());
      printResult("through", results.getLast());
      printDifference(results.getFirst(), results.getLast());
      System.out.println(heap);
      long after = deployment.daemon().measureUsedHeap();
      System.out.printf(
          "heap: after_window_kb=%d growth_in_window_kb=%d%n",
          after / 1024, (after - heap.last()) / 1024);
      watchHeap(load, deployment, Duration.ofSeconds(options.valueOf(heapWatchSeconds)));
    }
  }

  /** Prints the heap usage over time while the same streams stay open, to reveal leaks. */
  private static void watchHeap(
      StreamLoadGenerator load, BenchmarkDeployment deployment, Duration length) {
    if (length.isZero()) {
      return;
    }
    HeapSlope heap = new HeapSlope("second");
    long start = System.nanoTime();
    Duration elapsed = Duration.ZERO;
    while (elapsed.compareTo(length) <= 0) {
      heap.add(elapsed.toSeconds(), deployment.daemon().measureUsedHeap());
      StreamLoadGenerator.pause(HEAP_SAMPLE_INTERVAL);
      elapsed = Duration.ofNanos(System.nanoTime() - start);
    }
    System.out.println(heap);
    System.out.printf(
        "heap: watched_s=%d growth_kb=%d held=%d faults=%d%n",
        elapsed.toSeconds(),
        (heap.last() - heap.first()) / 1024,
        load.countActive(),
        load.errors().size());
  }

  private void warmUp(OptionSet options, Vertx vertx, List<Integer> ports) {
    try (StreamLoadGenerator load =
        new StreamLoadGenerator(vertx, BenchmarkDeployment.CALLER_KEY)) {
      load.openUpTo(options.valueOf(streams) / 4, ports);
      StreamLoadGenerator.pause(Duration.ofSeconds(options.valueOf(warmUp)));
    }
    StreamLoadGenerator.pause(SETTLING_TIME);
  }

  /** Results of one measurement window. The processor time is that of the daemon. */
  private record Result(
      Histogram first,
      Histogram between,
      long tokens,
      long activeStreams,
      Duration cpu,
      Duration length) {}

  /**
   * Measures both paths in the same time window, so that the load of the machine affects them
   * equally.
   */
  private static List<Result> measureWindow(
      List<StreamLoadGenerator> loads, BenchmarkDeployment deployment, Duration length) {
    loads.forEach(StreamLoadGenerator::resetMeasurement);
    Duration before = deployment.daemon().cpuTime();
    long start = System.nanoTime();
    StreamLoadGenerator.pause(length);
    Duration cpu = deployment.daemon().cpuTime().minus(before);
    Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
    return loads.stream().map(load -> toResult(load, cpu, elapsed)).toList();
  }

  private static Result toResult(StreamLoadGenerator load, Duration cpu, Duration elapsed) {
    load.errors().stream().limit(3).forEach(error -> System.out.println("fault: " + error));
    System.out.println("faults=" + load.errors().size());
    return new Result(
        load.firstToken(), load.betweenTokens(), load.tokens(), load.countActive(), cpu, elapsed);
  }

  private static void printResult(String path, Result result) {
    System.out.printf(
        "%s: held=%d tokens_per_s=%.0f%n",
        path, result.activeStreams(), result.tokens() * 1e9 / result.length().toNanos());
    for (double percentile : PERCENTILES) {
      System.out.printf(
          "%s: p%s first_token_ms=%.2f between_tokens_ms=%.2f%n",
          path,
          percentile,
          result.first().getValueAtPercentile(percentile) / NANOS_PER_MILLI,
          result.between().getValueAtPercentile(percentile) / NANOS_PER_MILLI);
    }
  }

  private static void printDifference(Result direct, Result through) {
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
