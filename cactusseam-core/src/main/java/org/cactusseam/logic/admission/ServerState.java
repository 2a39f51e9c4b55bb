package org.cactusseam.logic.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.LoadReport;
import org.jspecify.annotations.Nullable;

/** What the owner of a shard knows of one backend server. */
final class ServerState {

  /**
   * Time for which warm reports are ignored after fresher news of a cold start. Reports lag, so one
   * that was made before the start can arrive after it.
   */
  private static final long REPORT_LAG_MILLIS = 1_000;

  /** Time in which an engine computes the prompts that were just sent; a few steps. */
  private static final long RECENT_MILLIS = 100;

  /** Restarts that a lagged report can miss; a server that crashes in a loop stays bounded. */
  private static final int FORMER_INCARNATIONS = 8;

  final List<Attempt> attempts = new ArrayList<>();
  final PrefixCacheView cache = new PrefixCacheView();
  final CircuitBreaker breaker;

  private final AdmissionSettings settings;
  private final Ramp ramp;
  private final MemoryForecast forecast = new MemoryForecast();
  private final MemoryForecast firmForecast = new MemoryForecast();
  private final LinkedHashSet<String> formerIncarnations = new LinkedHashSet<>();
  private final Orphans orphans = new Orphans();
  private BackendServer description;
  private boolean inService;
  private @Nullable String incarnation;
  private boolean cold = true;
  private boolean silent;
  private int unconfirmed;
  private long lastHeard;
  private long ignoreWarmUntil;
  private boolean forecastStale;
  private double peak;
  private int warmLimit;
  private double memoryLimit;
  private int recentPromptTokens;
  private long recentSince;
  private @Nullable LoadReport reported;

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

  /** Sets the description; a server that comes back into service counts as cold until heard. */
  void describe(BackendServer newDescription, boolean newInService, long now) {
    description = newDescription;
    warmLimit = newDescription.warmLimit();
    memoryLimit = newDescription.memoryTokens() * (1 - settings.headroom());
    if (newInService && !inService) {
      turnCold(now);
      ignoreWarmUntil = now;
    }
    inService = newInService;
  }

  /** Notes the state in the head of a response. */
  void heard(BackendCondition condition, long now) {
    lastHeard = now;
    breaker.succeeded();
    boolean restarted = noteIncarnation(condition.incarnation());
    if (condition.cold() || restarted) {
      turnCold(now);
    } else {
      turnWarm(now);
    }
  }

  /** Notes a report, which may be older than the last head of a response. */
  void heard(LoadReport report, long now) {
    if (formerIncarnations.contains(report.condition().incarnation())) {
      return;
    }
    lastHeard = now;
    reported = report;
    boolean restarted = noteIncarnation(report.condition().incarnation());
    if (report.condition().cold() || restarted) {
      cold = true;
      silent = false;
    } else if (now >= ignoreWarmUntil) {
      turnWarm(now);
    }
  }

  /** Notes that tokens arrived from the server. */
  void heardTokens(long now) {
    lastHeard = now;
  }

  /** Notes that the connection of a stream broke. */
  void broke(long now) {
    breaker.failed(now);
    turnCold(now);
  }

  /** Lets time pass: a server that holds streams and says nothing counts as cold. */
  void tick(long now) {
    boolean quiet = now - lastHeard > settings.silenceMillis() && !attempts.isEmpty();
    if (quiet && settings.uses(AdmissionFeature.SILENCE_IS_COLD) && !cold) {
      cold = true;
      silent = true;
    }
  }

  /** Returns the prompt tokens of an attempt that the prefix cache probably does not hold. */
  int uncachedTokens(Attempt attempt) {
    List<Long> prefixes = attempt.request.prefixHashes();
    if (prefixes.isEmpty()) {
      return attempt.promptTokens;
    }
    double cached = cache.match(prefixes) * prefixes.size() * PromptBlocks.BLOCK_TOKENS;
    return (int) Math.max(1, attempt.promptTokens - cached);
  }

  /** Returns prompt tokens that were sent recently and that the engine probably still computes. */
  double recentPromptTokens(long now) {
    double rest = 1 - (double) (now - recentSince) / RECENT_MILLIS;
    return recentPromptTokens * Math.max(0, rest);
  }

  /** Adds a granted attempt to the confirmation window. */
  void open(Attempt attempt, long now) {
    recentPromptTokens = (int) recentPromptTokens(now) + uncachedTokens(attempt);
    recentSince = now;
    if (attempts.isEmpty()) {
      lastHeard = Math.max(lastHeard, now);
    }
    attempts.add(attempt);
    unconfirmed++;
    forecastStale = true;
  }

  /** Takes an attempt out of the confirmation window. */
  void confirm(Attempt attempt) {
    if (!attempt.confirmed) {
      attempt.confirmed = true;
      unconfirmed--;
    }
  }

  /** Takes an ended attempt out. */
  void close(Attempt attempt) {
    confirm(attempt);
    attempts.remove(attempt);
    forecastStale = true;
  }

  /** Notes that the expected memory of an attempt changed. */
  void changed() {
    forecastStale = true;
  }

  /** Returns attempts of lost requesters that reports show to be gone. */
  List<Attempt> goneOrphans(LoadReport report, long now) {
    return orphans.gone(attempts, report, now);
  }

  /** Returns how many attempts the server may have open now. */
  int limit() {
    if (settings.uses(AdmissionFeature.UNLIMITED_DISPATCH)) {
      return Integer.MAX_VALUE;
    }
    if (settings.uses(AdmissionFeature.COLD_LIMIT) && cold) {
      return description.coldLimit();
    }
    return settings.uses(AdmissionFeature.RAMP) ? Math.min(warmLimit, ramp.limit()) : warmLimit;
  }

  /** Tells whether one more attempt keeps the limit and the confirmation window. */
  boolean hasRoom(long now) {
    boolean window =
        !settings.uses(AdmissionFeature.CONFIRMATION_WINDOW)
            || unconfirmed < description.coldLimit();
    boolean closed =
        !settings.uses(AdmissionFeature.CIRCUIT_BREAKER) || breaker.allows(unconfirmed, now);
    return inService && window && closed && attempts.size() < limit();
  }

  int warmLimit() {
    return warmLimit;
  }

  /** Returns memory that expected peaks may use, in tokens; 0 if the server has no such memory. */
  double memoryLimit() {
    return memoryLimit;
  }

  /** Returns the expected peak of engine memory with one more attempt, in tokens. */
  double peakWith(double held, double expected) {
    refreshForecast();
    return forecast.peakWith(held, expected);
  }

  /**
   * Returns the expected peak with one more attempt, without the streams that the engine preempts
   * for it.
   */
  double firmPeakWith(double held, double expected) {
    refreshForecast();
    return firmForecast.peakWith(held, expected);
  }

  /** Returns the expected peak of engine memory, in tokens. */
  double peak() {
    refreshForecast();
    return peak;
  }

  /** Returns the load in the last report as a part of the capacity; 0 if none came yet. */
  double reportedLoad() {
    LoadReport report = reported;
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
    firmForecast.clear();
    for (Attempt attempt : attempts) {
      double expected = attempt.expectedTotal();
      double held = attempt.promptTokens + attempt.tokens;
      forecast.add(held, expected - attempt.tokens);
      if (attempt.rank <= settings.preemptingRank()) {
        firmForecast.add(held, expected - attempt.tokens);
      }
    }
    forecast.sort();
    firmForecast.sort();
    peak = forecast.peakWith(0, 0);
    forecastStale = false;
  }

  private boolean noteIncarnation(String name) {
    if (name.equals(incarnation)) {
      return false;
    }
    boolean restarted = incarnation != null;
    if (restarted) {
      formerIncarnations.add(incarnation);
      if (formerIncarnations.size() > FORMER_INCARNATIONS) {
        formerIncarnations.removeFirst();
      }
      cache.clear();
    }
    incarnation = name;
    return restarted;
  }

  private void turnCold(long now) {
    cold = true;
    silent = false;
    ignoreWarmUntil = now + REPORT_LAG_MILLIS;
  }

  private void turnWarm(long now) {
    if (cold) {
      int borne = silent ? attempts.size() : 0;
      ramp.restart(Math.max(description.coldLimit(), borne), now);
    } else {
      ramp.heardWarm(description.warmLimit(), now);
    }
    cold = false;
    silent = false;
  }
}
