package org.cactusseam.logic.replay;

import java.time.Duration;
import java.util.List;
import org.cactusseam.logic.admission.AdmissionSettings;

/**
 * Size, workload and admission settings of a reference deployment, used to generate traces and to
 * replay them. Only the pool of inference engines is modelled.
 *
 * @param name name of the deployment
 * @param pool name of the engine pool
 * @param domains failure domains with their engines
 * @param accounts workload of each client account
 * @param engine size and speed that all engines share
 * @param warmLimit maximum number of concurrent attempts that admission places on a warm engine
 * @param tokensPerSecond throughput of one engine under this workload, in output tokens per second
 * @param domainLatencyMicros one-way latency between failure domains, in microseconds
 * @param preset admission settings tuned for this deployment
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

  private static final long INTERACTIVE_FIRST_TOKEN_MILLIS = 3_000;
  private static final long BATCH_FIRST_TOKEN_MILLIS = 60_000;
  private static final long SHORT_DEADLINE_MILLIS = 30_000;
  private static final long LONG_DEADLINE_MILLIS = 120_000;
  private static final long BATCH_DEADLINE_MILLIS = 60_000;

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

  /** Makes defensive copies of the lists. */
  public Deployment {
    domains = List.copyOf(domains);
    accounts = List.copyOf(accounts);
  }

  /**
   * A failure domain with its engines.
   *
   * @param name name of the failure domain
   * @param region region that the failure domain belongs to
   * @param servers number of engines
   */
  public record Domain(String name, String region, int servers) {

    /**
     * Returns the name of the backend server that runs an engine.
     *
     * @param index position in the failure domain, from 0
     * @return name, unique in the deployment
     */
    public String server(int index) {
      return name + "-" + index;
    }
  }

  /**
   * Returns the deployment {@code zopfwerk}: 8 engines in 3 failure domains and 2 regions.
   *
   * @return size, workload and settings
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
            idleAccount("kunde-01", "lookup"),
            batchAccount("kunde-02", "letters", 0.25, 600, 250),
            batchAccount("kunde-03", "letters", 0.10, 600, 250),
            batchAccount("kunde-04", "tags", 0.10, 300, 40),
            interactiveAccount("kunde-05", "lookup", 0.20, 400, 180),
            interactiveAccount("kunde-06", "lookup", 0.08, 400, 180),
            interactiveAccount("kunde-07", "lookup", 0.07, 400, 180),
            interactiveAccount("kunde-08", "chat", 0.12, 500, 450),
            interactiveAccount("kunde-09", "chat", 0.05, 500, 450),
            nonRepeatableAccount("kunde-10", "shipping", 0.03, 200, 60)),
        ENGINE,
        48,
        850,
        1_500,
        AdmissionSettings.zopfwerk());
  }

  /**
   * Returns the deployment {@code flagline}: 10 engines in 3 failure domains and 2 regions.
   *
   * @return size, workload and settings
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
            idleAccount("member-01", "plans"),
            interactiveAccount("member-02", "plans", 0.30, 400, 600),
            interactiveAccount("member-03", "plans", 0.15, 400, 600),
            interactiveAccount("member-04", "plans", 0.10, 400, 600),
            interactiveAccount("member-05", "plans", 0.05, 400, 600),
            batchAccount("member-06", "summaries", 0.15, 700, 300),
            batchAccount("member-07", "summaries", 0.10, 700, 300),
            interactiveAccount("member-08", "tags", 0.08, 250, 30),
            interactiveAccount("member-09", "tags", 0.04, 250, 30),
            nonRepeatableAccount("member-10", "loans", 0.03, 200, 60)),
        ENGINE,
        48,
        850,
        1_000,
        AdmissionSettings.flagline());
  }

  private static AccountProfile idleAccount(String name, String route) {
    return new AccountProfile(
        name, "premium", 20, route, 0, 300, 150, 0.5, true, 1_600, SHORT_DEADLINE_MILLIS);
  }

  private static AccountProfile interactiveAccount(
      String name, String route, double loadFraction, int prompt, int output) {
    long deadline = output > 300 ? LONG_DEADLINE_MILLIS : SHORT_DEADLINE_MILLIS;
    return new AccountProfile(
        name,
        "watched",
        10,
        route,
        loadFraction,
        prompt,
        output,
        0.8,
        true,
        INTERACTIVE_FIRST_TOKEN_MILLIS,
        deadline);
  }

  private static AccountProfile nonRepeatableAccount(
      String name, String route, double loadFraction, int prompt, int output) {
    return new AccountProfile(
        name,
        "watched",
        10,
        route,
        loadFraction,
        prompt,
        output,
        0.4,
        false,
        INTERACTIVE_FIRST_TOKEN_MILLIS,
        SHORT_DEADLINE_MILLIS);
  }

  private static AccountProfile batchAccount(
      String name, String route, double loadFraction, int prompt, int output) {
    return new AccountProfile(
        name,
        "waiting",
        0,
        route,
        loadFraction,
        prompt,
        output,
        0.9,
        true,
        BATCH_FIRST_TOKEN_MILLIS,
        BATCH_DEADLINE_MILLIS);
  }

  /**
   * Returns the number of engines.
   *
   * @return number of engines in all failure domains
   */
  public int servers() {
    return domains.stream().mapToInt(Domain::servers).sum();
  }
}
