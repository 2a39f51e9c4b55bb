package org.cactusseam.logic.replay;

import java.time.Duration;
import java.util.List;
import org.cactusseam.logic.admission.AdmissionSettings;

/**
 * Description of a deployment for generated traces and their replay: sizes of section 1.4 of the
 * design page, with the engine pool only.
 *
 * @param name name
 * @param pool name of the engine pool
 * @param domains failure domains
 * @param accounts workloads
 * @param engine size and speed of each engine
 * @param warmLimit attempts that the settings allow on a warm engine
 * @param tokensPerSecond tokens that one engine generates in a second under this mix
 * @param domainLatencyMicros one-way latency between failure domains, in microseconds
 * @param preset admission settings
 */
public record Deployment(
    String name,
    String pool,
    List<Domain> domains,
    List<AccountProfile> accounts,
    EngineSettings engine,
    int warmLimit,
    double tokensPerSecond,
    long domainLatencyMicros,
    AdmissionSettings preset) {

  /** One-way latency between regions, in microseconds. */
  public static final long REGION_LATENCY_MICROS = 20_000;

  /** One-way latency between callers and entry daemons, in microseconds. */
  public static final long CLIENT_LATENCY_MICROS = 3_000;

  private static final long WATCHED_BEGIN_MILLIS = 3_000;
  private static final long WAITING_BEGIN_MILLIS = 60_000;
  private static final long SHORT_DEADLINE_MILLIS = 30_000;
  private static final long LONG_DEADLINE_MILLIS = 120_000;
  private static final long WAITING_DEADLINE_MILLIS = 60_000;

  private static final EngineSettings ENGINE =
      new EngineSettings(
          48,
          512,
          16_000,
          16,
          1_500,
          new StepTimes(
              Duration.ofMillis(12), Duration.ofNanos(400_000), Duration.ofNanos(40_000), 0.05),
          new ColdStart(Duration.ofSeconds(8), 0, 4, 2.0),
          Duration.ofSeconds(5));

  /** Copies the lists. */
  public Deployment {
    domains = List.copyOf(domains);
    accounts = List.copyOf(accounts);
  }

  /**
   * A failure domain with its engines.
   *
   * @param name name
   * @param region region
   * @param servers number of engines
   */
  public record Domain(String name, String region, int servers) {

    /**
     * Returns the name of an engine.
     *
     * @param index position in the domain
     * @return name
     */
    public String server(int index) {
      return name + "-" + index;
    }
  }

  /**
   * Returns deployment zopfwerk.
   *
   * @return description
   */
  public static Deployment zopfwerk() {
    return new Deployment(
        "zopfwerk",
        "zopf-llm",
        List.of(
            new Domain("ost-wien", "ost", 3),
            new Domain("ost-graz", "ost", 3),
            new Domain("west-ibk", "west", 2)),
        List.of(
            rare("kunde-01", "lookup"),
            waiting("kunde-02", "letters", 0.25, 600, 250),
            waiting("kunde-03", "letters", 0.10, 600, 250),
            waiting("kunde-04", "tags", 0.10, 300, 40),
            watched("kunde-05", "lookup", 0.20, 400, 180),
            watched("kunde-06", "lookup", 0.08, 400, 180),
            watched("kunde-07", "lookup", 0.07, 400, 180),
            watched("kunde-08", "chat", 0.12, 500, 450),
            watched("kunde-09", "chat", 0.05, 500, 450),
            once("kunde-10", "shipping", 0.03, 200, 60)),
        ENGINE,
        48,
        850,
        1_500,
        AdmissionSettings.zopfwerk());
  }

  /**
   * Returns deployment flagline.
   *
   * @return description
   */
  public static Deployment flagline() {
    return new Deployment(
        "flagline",
        "pennant-llm",
        List.of(
            new Domain("hobart-a", "tas-south", 4),
            new Domain("hobart-b", "tas-south", 3),
            new Domain("launceston-a", "tas-north", 3)),
        List.of(
            rare("member-01", "plans"),
            watched("member-02", "plans", 0.30, 400, 600),
            watched("member-03", "plans", 0.15, 400, 600),
            watched("member-04", "plans", 0.10, 400, 600),
            watched("member-05", "plans", 0.05, 400, 600),
            waiting("member-06", "summaries", 0.15, 700, 300),
            waiting("member-07", "summaries", 0.10, 700, 300),
            watched("member-08", "tags", 0.08, 250, 30),
            watched("member-09", "tags", 0.04, 250, 30),
            once("member-10", "loans", 0.03, 200, 60)),
        ENGINE,
        48,
        850,
        1_000,
        AdmissionSettings.flagline());
  }

  private static AccountProfile rare(String name, String route) {
    return new AccountProfile(
        name, "premium", 20, route, 0, 300, 150, 0.5, true, 1_600, SHORT_DEADLINE_MILLIS);
  }

  private static AccountProfile watched(
      String name, String route, double part, int prompt, int output) {
    long deadline = output > 300 ? LONG_DEADLINE_MILLIS : SHORT_DEADLINE_MILLIS;
    return new AccountProfile(
        name,
        "watched",
        10,
        route,
        part,
        prompt,
        output,
        0.8,
        true,
        WATCHED_BEGIN_MILLIS,
        deadline);
  }

  private static AccountProfile once(
      String name, String route, double part, int prompt, int output) {
    return new AccountProfile(
        name,
        "watched",
        10,
        route,
        part,
        prompt,
        output,
        0.4,
        false,
        WATCHED_BEGIN_MILLIS,
        SHORT_DEADLINE_MILLIS);
  }

  private static AccountProfile waiting(
      String name, String route, double part, int prompt, int output) {
    return new AccountProfile(
        name,
        "waiting",
        0,
        route,
        part,
        prompt,
        output,
        0.9,
        true,
        WAITING_BEGIN_MILLIS,
        WAITING_DEADLINE_MILLIS);
  }

  /**
   * Returns the number of engines.
   *
   * @return engines in all domains
   */
  public int servers() {
    return domains.stream().mapToInt(Domain::servers).sum();
  }
}
