package org.cactusseam.logic.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Generates traces with a fixed seed. Seeds below {@link #FIRST_HELD_OUT_SEED} are for tuning, the
 * others only for the measurements that are reported.
 */
public final class TraceGenerator {

  /** First seed that settings must not be tuned on. */
  public static final long FIRST_HELD_OUT_SEED = 1_000;

  /** Length of a trace, in milliseconds; requests arrive in this time. */
  public static final long LENGTH_MILLIS = 150_000;

  /** Time at which the first failure domain leaves, in milliseconds. */
  public static final long DOMAIN_OUT_MILLIS = 45_000;

  /** Time at which it returns, in milliseconds. */
  public static final long DOMAIN_IN_MILLIS = 80_000;

  /** Start of the burst of the account that rarely uses its share, in milliseconds. */
  public static final long RARE_BURST_MILLIS = 125_000;

  private static final long FIRST_COLD_MILLIS = 25_000;
  private static final long SECOND_COLD_MILLIS = 108_000;
  private static final int RARE_REQUESTS = 32;
  private static final long RARE_BURST_LENGTH_MILLIS = 1_000;
  private static final double PEAK_FACTOR = 2.0;
  private static final long PEAK_EVERY_MILLIS = 30_000;
  private static final long PEAK_LENGTH_MILLIS = 5_000;
  private static final int BLOCK_TOKENS = 16;
  private static final int PREFIX_GROUPS = 12;
  private static final int LONGEST_OUTPUT = 5_000;
  private static final int LONGEST_PROMPT = 4_000;

  private final Deployment deployment;
  private final TraceShape shape;
  private final RandomGenerator random;
  private final List<TraceLine> lines = new ArrayList<>();

  private TraceGenerator(Deployment deployment, TraceShape shape, long seed) {
    this.deployment = deployment;
    this.shape = shape;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Generates a trace.
   *
   * @param deployment deployment
   * @param shape course of the load
   * @param seed seed; the same seed gives the same trace
   * @param faults whether a failure domain leaves and servers turn cold
   * @return lines ordered by time
   */
  public static List<TraceLine> generate(
      Deployment deployment, TraceShape shape, long seed, boolean faults) {
    TraceGenerator generator = new TraceGenerator(deployment, shape, seed);
    deployment.accounts().forEach(generator::addArrivals);
    generator.addRareBurst();
    if (faults) {
      generator.addFaults();
    }
    generator.lines.sort(Comparator.comparingLong(TraceLine::atMillis));
    return List.copyOf(generator.lines);
  }

  private void addArrivals(AccountProfile account) {
    if (account.loadPart() == 0) {
      return;
    }
    double tokensPerSecond =
        deployment.servers() * deployment.tokensPerSecond() * shape.load() * account.loadPart();
    double meanMillis = 1_000 * account.meanOutput() / tokensPerSecond;
    double at = random.nextExponential() * meanMillis;
    while (at < LENGTH_MILLIS) {
      lines.add(request((long) at, account, false));
      double factor = isPeak((long) at, account) ? PEAK_FACTOR : 1;
      at += random.nextExponential() * meanMillis / factor;
    }
  }

  /** Peaks come from the accounts with a large part of the load. */
  private boolean isPeak(long at, AccountProfile account) {
    return shape == TraceShape.BURST
        && account.loadPart() >= 0.2
        && at % PEAK_EVERY_MILLIS < PEAK_LENGTH_MILLIS;
  }

  private void addRareBurst() {
    AccountProfile rare =
        deployment.accounts().stream()
            .filter(account -> account.loadPart() == 0)
            .findFirst()
            .orElseThrow();
    for (int index = 0; index < RARE_REQUESTS; index++) {
      long offset = random.nextLong(RARE_BURST_LENGTH_MILLIS);
      lines.add(request(RARE_BURST_MILLIS + offset, rare, true));
    }
  }

  private void addFaults() {
    Deployment.Domain leaving = deployment.domains().get(1);
    Deployment.Domain first = deployment.domains().getFirst();
    Deployment.Domain last = deployment.domains().getLast();
    lines.add(new TraceLine.ServerCold(FIRST_COLD_MILLIS, first.server(0)));
    lines.add(new TraceLine.DomainOut(DOMAIN_OUT_MILLIS, leaving.name()));
    lines.add(new TraceLine.DomainIn(DOMAIN_IN_MILLIS, leaving.name()));
    lines.add(new TraceLine.ServerCold(SECOND_COLD_MILLIS, last.server(0)));
  }

  private TraceLine.Request request(long at, AccountProfile account, boolean rare) {
    int prompt = length(account.promptTokens(), 0.4, LONGEST_PROMPT);
    return new TraceLine.Request(
        at,
        account.name(),
        account.priorityClass(),
        account.route(),
        region(),
        prompt,
        prefix(account, prompt),
        length(account.outputTokens(), account.spread(), LONGEST_OUTPUT),
        account.repeatable(),
        account.beginMillis(),
        account.deadlineMillis(),
        rare);
  }

  private int length(int median, double spread, int longest) {
    double value = median * Math.exp(spread * random.nextGaussian());
    return (int) Math.clamp(value, 1, longest);
  }

  /** Callers spread over regions like the engines. */
  private String region() {
    int index = random.nextInt(deployment.servers());
    for (Deployment.Domain domain : deployment.domains()) {
      index -= domain.servers();
      if (index < 0) {
        return domain.region();
      }
    }
    throw new IllegalStateException("no domain for index " + index);
  }

  /** Half of a prompt is one of a few texts that the account uses again and again. */
  private List<Long> prefix(AccountProfile account, int prompt) {
    long group = account.name().hashCode() * 31L + random.nextInt(PREFIX_GROUPS);
    int blocks = prompt / 2 / BLOCK_TOKENS;
    List<Long> hashes = new ArrayList<>(blocks);
    for (int block = 0; block < blocks; block++) {
      hashes.add(group * 1_000_003L + block);
    }
    return hashes;
  }
}
