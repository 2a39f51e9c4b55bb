package org.cactusseam.edge.peer;

import java.lang.management.ManagementFactory;
import java.util.Collections;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.LongStream;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.ShardLoad;
import org.cactusseam.model.message.PeerMessage;

/**
 * Measures the size and the CPU time of encoding and decoding each kind of message between entry
 * daemons. For messages of variable length it prints points, from which {@code fit-slopes} computes
 * slopes and residuals.
 */
final class PeerCodecBenchmark {

  private static final int WARM_UP_ROUNDS = 20_000;
  private static final int ROUNDS = 50_000;

  private PeerCodecBenchmark() {}

  public static void main(String[] arguments) {
    System.out.printf("%-20s %6s %12s %12s%n", "message", "bytes", "encode_ns", "decode_ns");
    PeerCodecTest.messages().forEach(PeerCodecBenchmark::measure);
    measureSeries("inventory by attempts", List.of(1, 50, 200, 590), PeerCodecBenchmark::inventory);
    measureSeries("loads by shards", List.of(1, 4, 16, 64), PeerCodecBenchmark::loads);
  }

  private static ShardId shard(int number) {
    return new ShardId(new PoolName("zopf-llm"), new RegionName("ost"), number);
  }

  private static PeerMessage inventory(int attempts) {
    List<PeerMessage.RunningAttempt> open =
        LongStream.range(0, attempts)
            .mapToObj(number -> new PeerMessage.RunningAttempt(1_000_000 + number, 700 + number))
            .toList();
    return new PeerMessage.RunningAttempts(shard(0), "01a23f78a738c8f1", open);
  }

  private static PeerMessage loads(int shards) {
    ShardLoad load = new ShardLoad(0, 3, 64, 20.5, Collections.nCopies(4, 0L));
    return new PeerMessage.Loads(
        LongStream.range(0, shards)
            .mapToObj(number -> new PeerMessage.ShardLoadEntry(shard((int) number), load))
            .toList());
  }

  private static void measureSeries(
      String name, List<Integer> sizes, IntFunction<PeerMessage> message) {
    for (int size : sizes) {
      byte[] frame = PeerCodec.encode(message.apply(size)).getBytes();
      byte[] value = java.util.Arrays.copyOfRange(frame, PeerCodec.LENGTH_BYTES, frame.length);
      measureEncoding(message.apply(size), WARM_UP_ROUNDS / size);
      measureDecoding(value, WARM_UP_ROUNDS / size);
      System.out.printf("point|%s, bytes|%d|%d|bytes%n", name, size, frame.length);
      long encoded = measureEncoding(message.apply(size), ROUNDS / size);
      System.out.printf("point|%s, encoding|%d|%d|ns%n", name, size, encoded);
      System.out.printf(
          "point|%s, decoding|%d|%d|ns%n", name, size, measureDecoding(value, ROUNDS / size));
    }
  }

  private static void measure(PeerMessage message) {
    byte[] frame = PeerCodec.encode(message).getBytes();
    byte[] value = java.util.Arrays.copyOfRange(frame, PeerCodec.LENGTH_BYTES, frame.length);
    measureEncoding(message, WARM_UP_ROUNDS);
    measureDecoding(value, WARM_UP_ROUNDS);
    System.out.printf(
        "%-20s %6d %12d %12d%n",
        message.getClass().getSimpleName(),
        frame.length,
        measureEncoding(message, ROUNDS),
        measureDecoding(value, ROUNDS));
  }

  private static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long measureEncoding(PeerMessage message, int rounds) {
    long start = threadCpuNanos();
    long bytes = 0;
    for (int round = 0; round < rounds; round++) {
      bytes += PeerCodec.encode(message).length();
    }
    return bytes == 0 ? 0 : (threadCpuNanos() - start) / rounds;
  }

  private static long measureDecoding(byte[] value, int rounds) {
    long start = threadCpuNanos();
    long decoded = 0;
    for (int round = 0; round < rounds; round++) {
      decoded += PeerCodec.decode(value).isSuccess() ? 1 : 0;
    }
    return decoded == 0 ? 0 : (threadCpuNanos() - start) / rounds;
  }
}
