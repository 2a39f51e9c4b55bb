package org.cactusseam.logic.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cactusseam.model.gateway.ServerPace;

/**
 * Estimates how long work takes at each backend server now, relative to its usual duration.
 *
 * <p>The newest statement of a server counts most, whether this VM or a peer received it. It is
 * correct only for a fraction of a second, so its weight decays to an average over the last
 * seconds, which holds for servers that are slow permanently. Without further statements the
 * average decays to the usual pace, so that a server which was slow is used again.
 *
 * <p>The durations of requests that this VM has measured correct a server whose statements are
 * untrue, or that is slow for one route only: if they differ clearly from what the statements of
 * the server predict, the measured pace is used in place of the stated one.
 */
public final class ServerPaces {

  /**
   * Time constant with which a statement loses its weight, shorter than the time for which a pace
   * lasts where it changes often (0.6 s).
   */
  private static final Duration STATEMENT_DECAY = Duration.ofMillis(400);

  /** Time constant of the average over the statements, several times that of one statement. */
  private static final Duration AVERAGE_DECAY = Duration.ofSeconds(4);

  /**
   * Longest time before a statement for which it counts in the average. After a longer silence, one
   * statement would define the average alone.
   */
  private static final Duration MAX_AVERAGED_GAP = Duration.ofSeconds(1);

  /**
   * Age from which a statement is not sent to peers: its weight is below 2 percent, and the peers
   * have received it before.
   */
  private static final Duration MAX_SENT_AGE = Duration.ofMillis(1_600);

  /**
   * Smallest factor that counts. A server that states a smaller one would draw the requests of all
   * VMs.
   */
  private static final double MIN_FACTOR = 0.5;

  /** Largest factor that counts: a server that states a larger one is still used when idle. */
  private static final double MAX_FACTOR = 10;

  /** Weight of the newest request in the averages of measured durations. */
  private static final double NEWEST_MEASUREMENT_WEIGHT = 0.1;

  /** Number of measured requests before which the measurements do not count. */
  private static final int MIN_MEASUREMENTS = 12;

  /**
   * Ratio between measured and predicted durations from which a statement counts as untrue. The
   * average of measurements that vary by a factor of two deviates by a factor of 1.17 (one standard
   * deviation), so that 1.75 is reached by chance in fewer than 1 of 1,000 cases.
   */
  private static final double UNTRUE_RATIO = 1.75;

  /**
   * Ratio below which a contradiction ends. It is lower than the one from which it begins, so that
   * an average near the limit does not begin and end it again and again.
   */
  private static final double TRUE_AGAIN_RATIO = 1.4;

  /** Time constant with which measurements lose their effect at a server that is not used. */
  private static final Duration MEASUREMENT_DECAY = Duration.ofSeconds(10);

  private static final double PERCENT = 100;

  private final Duration statementDecay;
  private final Duration averageDecay;
  private final Map<String, Statements> statements = new HashMap<>();
  private final Map<Work, Double> usualLogMillis = new HashMap<>();
  private final Map<String, Map<String, Measurements>> measurements = new HashMap<>();
  private final Map<String, Instant> resetAt = new HashMap<>();

  /**
   * Kind of work whose durations are comparable between servers.
   *
   * @param route name of the route
   * @param ownRegion whether the server is in the region of this VM; the link to another region
   *     adds to the duration
   */
  public record Work(String route, boolean ownRegion) {}

  /**
   * Statement of a server, as sent to other VMs.
   *
   * @param pace stated pace
   * @param ageMillis time since the server stated it
   */
  public record AgedPace(ServerPace pace, int ageMillis) {

    /** Checks the age. */
    public AgedPace {
      if (ageMillis < 0) {
        throw new IllegalArgumentException("statement that is " + ageMillis + " ms old");
      }
    }
  }

  private final class Statements {
    private double newest = 1;
    private double average = 1;
    private Instant statedAt = Instant.MIN;
    private Optional<ServerPace> received = Optional.empty();
    private Instant receivedAt = Instant.MIN;

    private void add(ServerPace pace, Instant at) {
      if (!at.isAfter(statedAt)) {
        return;
      }
      double factor = limited(pace.percent() / PERCENT);
      if (!statedAt.equals(Instant.MIN)) {
        Instant gapStart = at.minus(MAX_AVERAGED_GAP);
        Instant start = gapStart.isAfter(statedAt) ? gapStart : statedAt;
        average = 1 + (average - 1) * weight(statedAt, start, averageDecay);
        average = factor + (average - factor) * weight(start, at, averageDecay);
      }
      newest = factor;
      statedAt = at;
    }

    private double factor(Instant now) {
      double slowly = 1 + (average - 1) * weight(statedAt, now, averageDecay);
      return slowly + (newest - average) * weight(statedAt, now, statementDecay);
    }
  }

  private static final class Measurements {
    private int count;
    private double logMeasured;
    private double logUnpredicted;
    private boolean contradicts;
    private Instant newestAt = Instant.MIN;

    private void add(double measured, double unpredicted, Instant now) {
      double weight = Math.max(NEWEST_MEASUREMENT_WEIGHT, 1.0 / (count + 1));
      logMeasured += (measured - logMeasured) * weight;
      logUnpredicted += (unpredicted - logUnpredicted) * weight;
      count = Math.min(count + 1, MIN_MEASUREMENTS);
      newestAt = now;
      double limit = Math.log(contradicts ? TRUE_AGAIN_RATIO : UNTRUE_RATIO);
      contradicts = count >= MIN_MEASUREMENTS && Math.abs(logUnpredicted) > limit;
    }

    private double factor(Instant now) {
      double factor = limited(Math.exp(logMeasured));
      return 1 + (factor - 1) * weight(newestAt, now, MEASUREMENT_DECAY);
    }
  }

  /** Creates an estimate without any statement. */
  public ServerPaces() {
    this(STATEMENT_DECAY, AVERAGE_DECAY);
  }

  /** Creates an estimate with other time constants, for comparisons. */
  ServerPaces(Duration statementDecay, Duration averageDecay) {
    this.statementDecay = statementDecay;
    this.averageDecay = averageDecay;
  }

  /** Records a statement that this VM has just received from a server. */
  public void recordStatement(String serverId, ServerPace pace, Instant now) {
    Statements known = statements.computeIfAbsent(serverId, id -> new Statements());
    known.received = Optional.of(pace);
    known.receivedAt = now;
    known.add(pace, now);
  }

  /**
   * Records the statements that a peer has received. One that is older than the newest known, or
   * than the last reset of the server, has no effect.
   *
   * @param paces statements by server identifier
   */
  public void recordPeerStatements(Map<String, AgedPace> paces, Instant now) {
    paces.forEach(
        (serverId, aged) -> {
          Instant statedAt = now.minusMillis(aged.ageMillis());
          if (isOfCurrentProcess(serverId, statedAt)) {
            statements.computeIfAbsent(serverId, id -> new Statements()).add(aged.pace(), statedAt);
          }
        });
  }

  /**
   * Returns the recent statements that this VM has received itself. Those of peers are not passed
   * on, so that no statement circulates.
   *
   * @return statements by server identifier
   */
  public Map<String, AgedPace> ownStatements(Instant now) {
    Map<String, AgedPace> own = new HashMap<>();
    statements.forEach(
        (serverId, known) -> {
          if (known.received.isPresent() && known.receivedAt.plus(MAX_SENT_AGE).isAfter(now)) {
            int ageMillis = (int) Math.max(0, Duration.between(known.receivedAt, now).toMillis());
            own.put(serverId, new AgedPace(known.received.get(), ageMillis));
          }
        });
    return own;
  }

  /**
   * Records the duration of a request that a server has completed, from sending it to the end of
   * the response.
   *
   * @param serverId server that ran the request
   * @param work kind of the request
   * @param duration measured duration
   * @param stated pace that the response stated
   * @return whether this request changed whether the statements of the server are believed
   */
  public boolean recordDuration(
      String serverId, Work work, Duration duration, Optional<ServerPace> stated, Instant now) {
    double logMillis = Math.log(Math.max(1, duration.toMillis()));
    double logStated = Math.log(limited(stated.map(pace -> pace.percent() / PERCENT).orElse(1.0)));
    double usual =
        usualLogMillis.merge(
            work,
            logMillis - logStated,
            (known, newest) -> known + (newest - known) * NEWEST_MEASUREMENT_WEIGHT / 2);
    Measurements measured =
        measurements
            .computeIfAbsent(serverId, id -> new HashMap<>())
            .computeIfAbsent(work.route(), route -> new Measurements());
    boolean before = measured.contradicts;
    measured.add(logMillis - usual, logMillis - usual - logStated, now);
    return before != measured.contradicts;
  }

  /**
   * Returns whether a server has stated its pace, to this VM or to a peer. Decisions about a
   * service are independent of paces while none of its servers has.
   */
  public boolean hasStatement(String serverId) {
    return statements.containsKey(serverId);
  }

  /**
   * Returns whether the measured durations contradict the statements of a server.
   *
   * @param route name of the route that was measured
   */
  public boolean isContradicted(String serverId, String route) {
    Measurements measured = measurements.getOrDefault(serverId, Map.of()).get(route);
    return measured != null && measured.contradicts;
  }

  /**
   * Returns the expected duration of work at a server now, relative to the usual one.
   *
   * @param route name of the route of the work; may be one that was never measured
   * @return 1 if work takes as long as usual, 2.5 if it takes 2.5 times as long
   */
  public double factor(String serverId, String route, Instant now) {
    Measurements measured = measurements.getOrDefault(serverId, Map.of()).get(route);
    if (measured != null && measured.contradicts) {
      return measured.factor(now);
    }
    Statements stated = statements.get(serverId);
    return stated == null ? 1 : limited(stated.factor(now));
  }

  /**
   * Removes the state of a server identity that a new process has taken over.
   *
   * @param now time before which all statements are those of the previous process
   */
  public void reset(String serverId, Instant now) {
    statements.remove(serverId);
    measurements.remove(serverId);
    resetAt.put(serverId, now);
  }

  /** Returns whether something at this time was not before the last reset of a server. */
  public boolean isOfCurrentProcess(String serverId, Instant at) {
    return !at.isBefore(resetAt.getOrDefault(serverId, Instant.MIN));
  }

  /** Removes the measurements of all routes that are not configured. */
  public void retainRoutes(Predicate<String> isConfigured) {
    usualLogMillis.keySet().removeIf(work -> !isConfigured.test(work.route()));
    measurements.values().forEach(routes -> routes.keySet().removeIf(isConfigured.negate()));
  }

  /** Removes the state of all servers that are not listed. */
  public void retain(Predicate<String> isListed) {
    statements.keySet().removeIf(isListed.negate());
    measurements.keySet().removeIf(isListed.negate());
    resetAt.keySet().removeIf(isListed.negate());
  }

  private static double limited(double factor) {
    return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, factor));
  }

  /** Returns the weight that is left of a value, from 0 to 1. */
  private static double weight(Instant since, Instant now, Duration timeConstant) {
    double age = Math.max(0, Duration.between(since, now).toMillis());
    return Math.exp(-age / timeConstant.toMillis());
  }
}
