package org.cactusseam.logic.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;
import org.jspecify.annotations.Nullable;

/**
 * State of one backend server as its shard's owner knows it: service state, cold or warm phase,
 * open attempts and expected memory.
 */
final class ServerState {

  /**
   * Time for which reports of a warm server are ignored after a response head or a broken stream
   * showed a cold start. Load reports lag, so one that was made before the cold start can arrive
   * after it.
   */
  private static final long REPORT_LAG_MILLIS = 1_000;

  /** Time that an engine needs for the prefill of prompts that were just sent, a few steps. */
  private static final long PREFILL_MILLIS = 100;

  /**
   * Number of former incarnations that are remembered to recognize lagged reports. It is bounded
   * because a server can crash in a loop.
   */
  private static final int MAXIMUM_FORMER_INCARNATIONS = 8;

  final List<Attempt> attempts = new ArrayList<>();
  final PrefixCacheView cache = new PrefixCacheView();
  final CircuitBreaker breaker;

  private final AdmissionSettings settings;
  private final Ramp ramp;
  private final MemoryForecast forecast = new MemoryForecast();
  private final MemoryForecast nonPreemptibleForecast = new MemoryForecast();
  private final LinkedHashSet<String> formerIncarnations = new LinkedHashSet<>();
  private final AbandonedAttempts abandonedAttempts = new AbandonedAttempts();
  private BackendServer description;
  private boolean inService;
  private @Nullable String incarnation;
  private boolean cold = true;
  private boolean silent;
  private int unconfirmed;
  private long lastContactAt;
  private long ignoreWarmUntil;
  private boolean forecastStale;
  private double peak;
  private int warmLimit;
  private double memoryLimit;
  private int recentPromptTokens;
  private long lastPromptAt;
  private @Nullable LoadReport lastReport;

  ServerState(BackendServer description, AdmissionSettings settings) {
    this.description = description;
    this.settings = settings;
    this.ramp = new Ramp(settings.rampFactor(), settings.rampStepMillis());
    this.breaker = new CircuitBreaker(settings.breakerFailures());
  }

  BackendServer description() {
    return description;
  }

  boolean inService() {
    return inService;
  }

  boolean cold() {
    return cold;
  }

  int open() {
    return attempts.size();
  }

  int unconfirmed() {
    return unconfirmed;
  }

  /**
   * Sets the description and the service state. A server that returns to service counts as cold
   * until it reports itself warm.
   */
  void configure(BackendServer newDescription, boolean newInService, long now) {
    description = newDescription;
    warmLimit = newDescription.warmLimit();
    memoryLimit = newDescription.memoryTokens() * (1 - settings.headroom());
    if (newInService && !inService) {
      markCold(now);
      ignoreWarmUntil = now;
    }
    inService = newInService;
  }

  /** Processes the server's state from a response head. */
  void update(BackendCondition condition, long now) {
    lastContactAt = now;
    breaker.recordSuccess();
    boolean restarted = updateIncarnation(condition.incarnation());
    if (condition.cold() || restarted) {
      markCold(now);
    } else {
      markWarm(now);
    }
  }

  /**
   * Processes a load report, which may be older than the last response head. Reports of a former
   * incarnation are ignored.
   */
  void update(LoadReport report, long now) {
    if (formerIncarnations.contains(report.condition().incarnation())) {
      return;
    }
    lastContactAt = now;
    lastReport = report;
    boolean restarted = updateIncarnation(report.condition().incarnation());
    if (report.condition().cold() || restarted) {
      cold = true;
      silent = false;
    } else if (now >= ignoreWarmUntil) {
      markWarm(now);
    }
  }

  /** Records that tokens arrived from the server. */
  void recordTokens(long now) {
    lastContactAt = now;
  }

  /**
   * Records that the connection of a stream broke. The server may have restarted, so it counts as
   * cold.
   */
  void recordBrokenStream(long now) {
    breaker.recordFailure(now);
    markCold(now);
  }

  /**
   * Marks the server as cold if it has open streams and has sent nothing for {@link
   * AdmissionSettings#silenceMillis}.
   */
  void tick(long now) {
    boolean quiet = now - lastContactAt > settings.silenceMillis() && !attempts.isEmpty();
    if (quiet && settings.uses(AdmissionFeature.SILENCE_IS_COLD) && !cold) {
      cold = true;
      silent = true;
    }
  }

  /**
   * Returns the number of prompt tokens of an attempt that are probably not in the server's prefix
   * cache.
   */
  int uncachedTokens(Attempt attempt) {
    List<Long> prefixes = attempt.request.prefixHashes();
    if (prefixes.isEmpty()) {
      return attempt.promptTokens;
    }
    double cached = cache.match(prefixes) * prefixes.size() * PromptBlocks.BLOCK_TOKENS;
    return (int) Math.max(1, attempt.promptTokens - cached);
  }

  /** Returns the number of recently sent prompt tokens that are probably still in prefill. */
  double recentPromptTokens(long now) {
    double rest = 1 - (double) (now - lastPromptAt) / PREFILL_MILLIS;
    return recentPromptTokens * Math.max(0, rest);
  }

  /** Adds a granted attempt, which counts as unconfirmed. */
  void open(Attempt attempt, long now) {
    recentPromptTokens = (int) recentPromptTokens(now) + uncachedTokens(attempt);
    lastPromptAt = now;
    if (attempts.isEmpty()) {
      lastContactAt = Math.max(lastContactAt, now);
    }
    attempts.add(attempt);
    unconfirmed++;
    forecastStale = true;
  }

  /** Marks an attempt as confirmed, because the server answered it. */
  void confirm(Attempt attempt) {
    if (!attempt.confirmed) {
      attempt.confirmed = true;
      unconfirmed--;
    }
  }

  /** Removes an attempt that ended. */
  void close(Attempt attempt) {
    confirm(attempt);
    attempts.remove(attempt);
    forecastStale = true;
  }

  /** Invalidates the memory forecast, because the expected memory of an attempt changed. */
  void invalidateForecast() {
    forecastStale = true;
  }

  /** Returns the abandoned attempts whose streams have ended according to the load reports. */
  List<Attempt> findEndedAttempts(LoadReport report, long now) {
    return abandonedAttempts.findEnded(attempts, report, now);
  }

  /** Returns the maximum number of attempts that may be open on the server now. */
  int limit() {
    if (settings.uses(AdmissionFeature.UNLIMITED_DISPATCH)) {
      return Integer.MAX_VALUE;
    }
    if (settings.uses(AdmissionFeature.COLD_LIMIT) && cold) {
      return description.coldLimit();
    }
    return settings.uses(AdmissionFeature.RAMP) ? Math.min(warmLimit, ramp.limit()) : warmLimit;
  }

  /**
   * Returns whether the server can take one more attempt: it is in service, within its limit and
   * its confirmation window, and its circuit breaker allows it.
   */
  boolean hasCapacity(long now) {
    boolean withinWindow =
        !settings.uses(AdmissionFeature.CONFIRMATION_WINDOW)
            || unconfirmed < description.coldLimit();
    boolean breakerAllows =
        !settings.uses(AdmissionFeature.CIRCUIT_BREAKER) || breaker.allows(unconfirmed, now);
    return inService && withinWindow && breakerAllows && attempts.size() < limit();
  }

  int warmLimit() {
    return warmLimit;
  }

  /**
   * Returns the engine memory that expected peaks may use, in tokens; 0 if the server has no engine
   * memory.
   */
  double memoryLimit() {
    return memoryLimit;
  }

  /** Returns the expected peak of the engine memory with one more attempt, in tokens. */
  double peakWith(double held, double expected) {
    refreshForecast();
    return forecast.peakWith(held, expected);
  }

  /**
   * Returns the expected peak of the engine memory with one more attempt, without the streams of
   * lower classes that the engine can preempt for it, in tokens.
   */
  double nonPreemptiblePeakWith(double held, double expected) {
    refreshForecast();
    return nonPreemptibleForecast.peakWith(held, expected);
  }

  /** Returns the expected peak of the engine memory with the open attempts, in tokens. */
  double peak() {
    refreshForecast();
    return peak;
  }

  /**
   * Returns the load in the last report as a fraction of the capacity; 0 before the first report.
   */
  double reportedLoad() {
    LoadReport report = lastReport;
    if (report == null) {
      return 0;
    }
    double slots = (double) (report.running() + report.waiting()) / description.warmLimit();
    double memory =
        report.memoryTotalTokens() == 0
            ? 0
            : (double) report.memoryUsedTokens() / report.memoryTotalTokens();
    return Math.max(slots, memory);
  }

  private void refreshForecast() {
    if (!forecastStale) {
      return;
    }
    forecast.clear();
    nonPreemptibleForecast.clear();
    for (Attempt attempt : attempts) {
      double expected = attempt.expectedTotal();
      double held = attempt.promptTokens + attempt.tokens;
      forecast.add(held, expected - attempt.tokens);
      if (attempt.rank <= settings.preemptingRank()) {
        nonPreemptibleForecast.add(held, expected - attempt.tokens);
      }
    }
    forecast.sort();
    nonPreemptibleForecast.sort();
    peak = forecast.peakWith(0, 0);
    forecastStale = false;
  }

  /** Updates the incarnation. Returns whether it changed, that is, whether the server restarted. */
  private boolean updateIncarnation(String name) {
    if (name.equals(incarnation)) {
      return false;
    }
    boolean restarted = incarnation != null;
    if (restarted) {
      formerIncarnations.add(incarnation);
      if (formerIncarnations.size() > MAXIMUM_FORMER_INCARNATIONS) {
        formerIncarnations.removeFirst();
      }
      cache.clear();
    }
    incarnation = name;
    return restarted;
  }

  private void markCold(long now) {
    cold = true;
    silent = false;
    ignoreWarmUntil = now + REPORT_LAG_MILLIS;
  }

  /**
   * Marks the server as warm. A server that was cold starts the ramp at its cold limit; if only
   * silence had made it cold, at the number of attempts that it runs, because it bears them.
   */
  private void markWarm(long now) {
    if (cold) {
      int running = silent ? attempts.size() : 0;
      ramp.restart(Math.max(description.coldLimit(), running), now);
    } else {
      ramp.recordWarm(description.warmLimit(), now);
    }
    cold = false;
    silent = false;
  }
}
