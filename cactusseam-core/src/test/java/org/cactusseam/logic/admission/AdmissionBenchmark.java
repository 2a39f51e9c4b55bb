package org.cactusseam.logic.admission;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;

/**
 * Measures the time of one admission decision and the bytes that it allocates. Every server runs
 * close to its memory limit. After each decision the oldest attempts end, which is not measured.
 */
final class AdmissionBenchmark {

  private static final int WARM_UP = 300_000;
  private static final int DECISIONS = 1_000_000;
  private static final String[] ACCOUNTS = {"premium", "standard", "other", "batch"};

  private final List<ShardFixture> shards = new ArrayList<>();
  private final List<Deque<Permit>> open = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(1);

  private AdmissionBenchmark(int servers) {
    for (int first = 0; first < servers; first += ShardId.MAXIMUM_SERVERS) {
      ShardFixture shard = new ShardFixture(AdmissionSettings.zopfwerk());
      int count = Math.min(ShardId.MAXIMUM_SERVERS, servers - first);
      for (int index = 0; index < count; index++) {
        shard.server("engine-" + (first + index), 4, 48, 16_000);
      }
      shards.add(shard.warm());
      open.add(new ArrayDeque<>());
    }
  }

  public static void main(String[] arguments) {
    System.out.println("servers  shards  p50_us  p99_us  p99.9_us  bytes_per_decision  open");
    for (int servers : new int[] {11, 3_200, 11, 3_200}) {
      new AdmissionBenchmark(servers).run();
    }
  }

  private void run() {
    for (int decision = 0; decision < WARM_UP; decision++) {
      step();
    }
    Histogram nanos = new Histogram(1_000_000_000L, 3);
    long bytes = 0;
    for (int decision = 0; decision < DECISIONS; decision++) {
      long[] cost = step();
      nanos.recordValue(cost[0]);
      bytes += cost[1];
    }
    int running = open.stream().mapToInt(Deque::size).sum();
    System.out.printf(
        "%7d %7d %7.1f %7.1f %9.1f %19d %5d%n",
        shards.stream().mapToInt(shard -> shard.servers.size()).sum(),
        shards.size(),
        nanos.getValueAtPercentile(50) / 1_000.0,
        nanos.getValueAtPercentile(99) / 1_000.0,
        nanos.getValueAtPercentile(99.9) / 1_000.0,
        bytes / DECISIONS,
        running);
  }

  /**
   * Requests one permit; returns the time of the decision in nanoseconds and the allocated bytes.
   */
  private long[] step() {
    int index = random.nextInt(shards.size());
    ShardFixture fixture = shards.get(index);
    PermitRequest request = fixture.request(ACCOUNTS[random.nextInt(ACCOUNTS.length)]);
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long bytesBefore = threads.getCurrentThreadAllocatedBytes();
    long before = System.nanoTime();
    fixture.shard.request(request);
    List<AdmissionDecision> decisions = fixture.shard.drain();
    long nanos = System.nanoTime() - before;
    long bytes = threads.getCurrentThreadAllocatedBytes() - bytesBefore;
    decisions.forEach(decision -> note(fixture, open.get(index), decision));
    finishOldest(fixture, open.get(index));
    return new long[] {nanos, bytes};
  }

  private void note(ShardFixture fixture, Deque<Permit> running, AdmissionDecision decision) {
    if (decision instanceof AdmissionDecision.Granted granted) {
      fixture.shard.recordConfirmation(granted.permit().id(), ShardFixture.WARM);
      fixture.shard.recordProgress(granted.permit().id(), 1 + random.nextInt(60));
      running.add(granted.permit());
    }
  }

  private void finishOldest(ShardFixture fixture, Deque<Permit> running) {
    fixture.clock.advance(20);
    int target = fixture.servers.size() * 28;
    while (running.size() > target) {
      Permit oldest = running.poll();
      fixture.shard.recordEnd(oldest.id(), AttemptEnd.COMPLETED, 100 + random.nextInt(400));
    }
    fixture.shard.drain().forEach(decision -> note(fixture, running, decision));
  }
}
