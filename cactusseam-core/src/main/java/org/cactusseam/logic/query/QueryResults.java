package org.cactusseam.logic.query;

import static org.cactusseam.logic.query.ResultTable.row;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.logic.rollout.PoolRolloutPlan;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.DurationText;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.Names;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.Route;
import org.cactusseam.model.message.RequestSummary;
import org.cactusseam.model.message.ShardRolloutReport;
import org.cactusseam.model.message.ShardRolloutReport.ResponseTotals;

/**
 * Creates the result tables of queries from the configuration, the membership and request
 * summaries.
 */
public final class QueryResults {

  private final Configuration configuration;

  /**
   * Creates query results for a configuration.
   *
   * @param configuration configuration to query
   */
  public QueryResults(Configuration configuration) {
    this.configuration = configuration;
  }

  private <T extends ConfigurationObject> List<List<ResultTable.Cell>> rows(
      Class<T> type, Function<T, List<ResultTable.Cell>> row) {
    return configuration.all(type).stream().map(row).toList();
  }

  private long revision(ConfigurationObject object) {
    return configuration.revision(object.key()).orElseThrow();
  }

  /**
   * Lists the backend servers. The column "serves" shows whether new requests may be sent to the
   * server, which also depends on the state of its failure domain and on a roll-out of its pool.
   *
   * @return table with one row per server
   */
  public ResultTable servers() {
    return new ResultTable(
        List.of(
            "server",
            "pool",
            "domain",
            "kind",
            "address",
            "fencing",
            "cold",
            "warm",
            "memory",
            "version",
            "state",
            "serves",
            "revision"),
        rows(
            BackendServer.class,
            server ->
                row(
                    server.name(),
                    server.pool(),
                    server.domain(),
                    TokenParsers.lowerCase(server.kind()),
                    new Address(server.host(), server.port()),
                    server.checksFencing() ? "checked" : "ignored",
                    server.coldLimit(),
                    server.warmLimit(),
                    server.memoryTokens(),
                    server.version(),
                    TokenParsers.lowerCase(server.state()),
                    serves(server) ? "yes" : "no",
                    revision(server))));
  }

  private boolean serves(BackendServer server) {
    return configuration.isInService(server)
        && configuration
            .rollout(server.pool())
            .map(rollout -> PoolRolloutPlan.mayServe(rollout, server.version()))
            .orElse(true);
  }

  /**
   * Lists the failure domains.
   *
   * @return table with one row per failure domain
   */
  public ResultTable domains() {
    return new ResultTable(
        List.of("domain", "region", "state", "revision"),
        rows(
            FailureDomain.class,
            domain ->
                row(
                    domain.name(),
                    domain.region(),
                    TokenParsers.lowerCase(domain.state()),
                    revision(domain))));
  }

  /**
   * Lists the client accounts, with the number of their API keys instead of the hashes.
   *
   * @return table with one row per account
   */
  public ResultTable accounts() {
    return new ResultTable(
        List.of("account", "class", "share", "keys", "revision"),
        rows(
            ClientAccount.class,
            account ->
                row(
                    account.name(),
                    account.priorityClass(),
                    account.share(),
                    account.keyHashes().size(),
                    revision(account))));
  }

  /**
   * Lists the priority classes.
   *
   * @return table with one row per class
   */
  public ResultTable classes() {
    return new ResultTable(
        List.of("class", "rank", "may-wait", "revision"),
        rows(
            PriorityClass.class,
            priorityClass ->
                row(
                    priorityClass.name(),
                    priorityClass.rank(),
                    priorityClass.mayWait() ? "yes" : "no",
                    revision(priorityClass))));
  }

  /**
   * Lists the routes.
   *
   * @return table with one row per route
   */
  public ResultTable routes() {
    return new ResultTable(
        List.of("route", "path", "model", "pool", "kind", "repeatable", "deadline", "revision"),
        rows(
            Route.class,
            route ->
                row(
                    route.name(),
                    route.path(),
                    route.model().orElse(""),
                    route.pool(),
                    TokenParsers.lowerCase(route.kind()),
                    route.repeatable() ? "yes" : "no",
                    DurationText.format(Duration.ofMillis(route.deadlineMillis())),
                    revision(route))));
  }

  /**
   * Lists the latest roll-out of each pool with the evidence for and against the new version.
   *
   * @param reports latest reports of the owners of the shards
   * @return table with one row per pool for which a roll-out was ordered
   */
  public ResultTable rollouts(Collection<ShardRolloutReport> reports) {
    return new ResultTable(
        List.of(
            "pool",
            "version",
            "replaces",
            "stage",
            "paused",
            "deadline",
            "old-requests",
            "old-failures",
            "old-slow",
            "new-requests",
            "new-failures",
            "new-slow",
            "revision",
            "reason"),
        rows(
            PoolRollout.class,
            rollout -> {
              List<ShardRolloutReport> known =
                  reports.stream()
                      .filter(report -> report.shard().pool().equals(rollout.pool()))
                      .filter(report -> report.order() == rollout.order())
                      .toList();
              ResponseTotals replaced = total(known, ShardRolloutReport::replaced);
              ResponseTotals latest = total(known, ShardRolloutReport::latest);
              return row(
                  rollout.pool(),
                  rollout.version(),
                  String.join(" ", rollout.replaced()),
                  rollout.stage(),
                  rollout.paused() ? "yes" : "no",
                  Instant.ofEpochMilli(rollout.deadlineMillis()),
                  replaced.responses(),
                  replaced.failures(),
                  replaced.slow(),
                  latest.responses(),
                  latest.failures(),
                  latest.slow(),
                  revision(rollout),
                  rollout.reason());
            }));
  }

  private static ResponseTotals total(
      List<ShardRolloutReport> reports, Function<ShardRolloutReport, ResponseTotals> totals) {
    return reports.stream().map(totals).reduce(ResponseTotals.NONE, ResponseTotals::plus);
  }

  /**
   * Lists the entry daemons.
   *
   * @param membership current members
   * @return table with one row per daemon
   */
  public static ResultTable nodes(Membership membership) {
    return new ResultTable(
        List.of("node", "region", "domain", "address", "state", "joined"),
        membership.entries().stream()
            .map(
                entry ->
                    row(
                        entry.member().node(),
                        entry.member().region(),
                        entry.member().domain(),
                        new Address(entry.member().host(), entry.member().peerPort()),
                        entry.active() ? "active" : "joined",
                        entry.joinedAt()))
            .toList());
  }

  /**
   * Lists the requests that meet all conditions of a query.
   *
   * @param query query with its conditions
   * @param requests summaries of the requests of all entry daemons
   * @return table with one row per matching request
   */
  public ResultTable requests(Command.ShowRequests query, List<RequestSummary> requests) {
    return new ResultTable(
        List.of(
            "request", "node", "account", "class", "route", "server", "state", "tokens", "age-ms"),
        requests.stream()
            .filter(
                request ->
                    query.conditions().stream().allMatch(condition -> matches(condition, request)))
            .map(
                request ->
                    row(
                        request.request(),
                        request.node(),
                        request.account(),
                        request.priorityClass(),
                        request.route(),
                        request.server(),
                        request.state(),
                        request.tokens(),
                        request.ageMillis()))
            .toList());
  }

  private boolean matches(Command.Condition condition, RequestSummary request) {
    String actual =
        switch (condition.field()) {
          case ACCOUNT -> request.account().value();
          case ROUTE -> request.route().value();
          case SERVER -> request.server();
          case DOMAIN -> domain(request.server());
        };
    return actual.equals(condition.name());
  }

  private String domain(String server) {
    // The server of a waiting request is an empty string, which is not a valid name.
    return Names.isValid(server)
        ? configuration
            .server(new BackendServerName(server))
            .map(found -> found.domain().value())
            .orElse("")
        : "";
  }
}
