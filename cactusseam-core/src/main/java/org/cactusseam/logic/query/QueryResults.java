package org.cactusseam.logic.query;

import static org.cactusseam.logic.query.ResultTable.row;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.cactusseam.logic.control.Membership;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.DurationText;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.Names;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.Route;
import org.cactusseam.model.message.RequestSummary;

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
   * server, which also depends on the state of its failure domain.
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
                    configuration.isInService(server) ? "yes" : "no",
                    revision(server))));
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
