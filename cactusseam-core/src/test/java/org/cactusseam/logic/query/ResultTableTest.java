package org.cactusseam.logic.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.message.RequestSummary;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against misleading query results: misaligned columns, forged rows and incorrectly filtered
 * requests.
 */
class ResultTableTest {

  private static final Configuration CONFIGURATION =
      Configuration.EMPTY.with(
          new BackendServer(
              new BackendServerName("w1"),
              new PoolName("llm"),
              new FailureDomainName("wien"),
              BackendKind.ENGINE,
              "10.0.0.1",
              80,
              true,
              1,
              8,
              1000,
              ServiceState.IN,
              "v2"),
          4);
  private static final List<RequestSummary> REQUESTS =
      List.of(
          request("one", "resi", "w1"), request("two", "resi", ""), request("three", "b", "w2"));

  private static RequestSummary request(String id, String account, String server) {
    return new RequestSummary(
        id,
        new NodeName("n1"),
        new AccountName(account),
        new PriorityClassName("gold"),
        new RouteName("chat"),
        server,
        server.isEmpty() ? "waiting" : "streaming",
        12,
        3400);
  }

  @Test
  void columns_are_aligned_and_numbers_are_right_aligned() {
    ResultTable table =
        new ResultTable(
            List.of("name", "count"),
            List.of(ResultTable.row("a", 7), ResultTable.row("longer", 1234567L)));

    assertThat(table.toText(), is("name    count\na             7\nlonger  1234567\n"));
  }

  @Test
  void a_value_with_control_characters_does_not_forge_a_row() {
    ResultTable table = new ResultTable(List.of("name"), List.of(ResultTable.row("a\nb\u001b[2J")));

    assertThat(table.toText(), is("name\na?b?[2J\n"));
  }

  @Test
  void a_row_with_a_missing_cell_is_rejected() {
    List<List<ResultTable.Cell>> rows = List.of(ResultTable.row("a"));

    assertThrows(
        IllegalArgumentException.class, () -> new ResultTable(List.of("one", "two"), rows));
  }

  @ParameterizedTest
  @CsvSource({
    "show requests, one two three",
    "show requests where account = resi, one two",
    "show requests where account = resi and server = w1, one",
    "show requests where domain = wien, one",
    "show requests where domain = graz, ''",
    "show requests where route = chat and account = b, three"
  })
  void requests_are_filtered_by_all_conditions(String text, String expected) {
    Command.ShowRequests query = (Command.ShowRequests) CommandParser.parse(text).get();

    ResultTable table = new QueryResults(CONFIGURATION).requests(query, REQUESTS);

    List<String> ids = table.rows().stream().map(row -> row.getFirst().toString()).toList();
    assertThat(String.join(" ", ids), is(expected));
  }

  @Test
  void a_server_whose_domain_is_unknown_is_listed_as_not_serving() {
    ResultTable table = new QueryResults(CONFIGURATION).servers();

    assertThat(
        table.rows(),
        is(
            List.of(
                ResultTable.row(
                    "w1",
                    "llm",
                    "wien",
                    "engine",
                    "10.0.0.1:80",
                    "checked",
                    1,
                    8,
                    1000,
                    "v2",
                    "in",
                    "no",
                    4))));
  }
}
