package org.cactusseam.system;

import static org.cactusseam.system.UncontrolledDaemonClients.CLIENTS;
import static org.cactusseam.system.UncontrolledDaemonClients.DESCRIPTORS;
import static org.cactusseam.system.UncontrolledDaemonClients.get;
import static org.cactusseam.system.UncontrolledDaemonClients.stream;

import java.util.List;
import org.cactusseam.system.UncontrolledDaemonClients.Behaviour;
import org.cactusseam.system.UncontrolledDaemonClients.Port;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against clients that end an entry daemon or make it unusable with what they send, or with
 * what they do not read. Checks nothing that depends on the speed of the machine.
 */
@Isolated("The clients of each case keep several processors busy.")
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class UncontrolledDaemonClientsTest {

  private static final String EMPTY_LINES = "\r\n".repeat(4_096);
  private static final String LINE_PART = "a".repeat(8_192);
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private UncontrolledDaemonClients clients;

  @BeforeAll
  void start() {
    clients = new UncontrolledDaemonClients();
  }

  @BeforeEach
  void restart() {
    clients.restart();
  }

  @AfterAll
  void stop() {
    clients.close();
  }

  private static Behaviour wholeBody(Port port) {
    return client -> {
      client.send(port.head("Content-Length: " + port.bodyBytes() + "\r\n"));
      client.send("b".repeat(port.bodyBytes() - 1));
    };
  }

  private static Behaviour oneByteChunks() {
    return client -> {
      client.send(Port.CALLERS.head(CHUNKED));
      client.sendRepeatedly("1\r\nb\r\n".repeat(1_000));
    };
  }

  private void check(Port port, Behaviour... behaviours) throws Exception {
    clients.check(port, CLIENTS, List.of(behaviours));
  }

  @ParameterizedTest
  @EnumSource(Port.class)
  void heads_over_the_limit(Port port) throws Exception {
    check(port, client -> client.send(port.head("X: " + "a".repeat(65_536) + "\r\n")));
  }

  @ParameterizedTest
  @EnumSource(Port.class)
  void endless_heads_in_one_line(Port port) throws Exception {
    check(
        port,
        client -> {
          client.send(port.startLine() + "X: ");
          client.sendRepeatedly(LINE_PART);
        });
  }

  @ParameterizedTest
  @EnumSource(Port.class)
  void endless_heads_in_many_lines(Port port) throws Exception {
    check(
        port,
        client -> {
          client.send(port.startLine());
          client.sendRepeatedly("X: y\r\n".repeat(1_000));
        });
  }

  @Test
  void endless_request_lines() throws Exception {
    check(
        Port.CALLERS,
        client -> {
          client.send("GET /catalogue");
          client.sendRepeatedly(LINE_PART);
        });
  }

  @Test
  void endless_empty_lines_before_a_request() throws Exception {
    check(Port.CALLERS, client -> client.sendRepeatedly(EMPTY_LINES));
  }

  @Test
  void endless_empty_lines_between_requests() throws Exception {
    check(
        Port.CALLERS,
        client -> {
          client.send(get("/catalogue"));
          client.sendRepeatedly(EMPTY_LINES);
        });
  }

  @Test
  void endless_chunk_headers() throws Exception {
    check(
        Port.CALLERS,
        client -> {
          client.send(Port.CALLERS.head(CHUNKED) + "5;x=");
          client.sendRepeatedly(LINE_PART);
        });
  }

  @Test
  void endless_trailers() throws Exception {
    check(
        Port.CALLERS,
        client -> {
          client.send(Port.CALLERS.head(CHUNKED) + "0\r\n");
          client.sendRepeatedly("X: y\r\n".repeat(1_000));
        });
  }

  @Test
  void one_byte_chunks() throws Exception {
    check(Port.CALLERS, oneByteChunks());
  }

  @Test
  void whole_bodies_that_stop_just_short() throws Exception {
    checkWholeBodiesThatStopJustShort(Port.CALLERS);
  }

  @Test
  void whole_bodies_that_stop_just_short_at_the_operators_port() throws Exception {
    checkWholeBodiesThatStopJustShort(Port.OPERATORS);
  }

  private void checkWholeBodiesThatStopJustShort(Port port) throws Exception {
    check(port, wholeBody(port));
  }

  @Test
  void bodies_in_pieces_that_stop_just_short() throws Exception {
    checkBodiesInPiecesThatStopJustShort(Port.CALLERS);
  }

  @Test
  void bodies_in_pieces_that_stop_just_short_at_the_operators_port() throws Exception {
    checkBodiesInPiecesThatStopJustShort(Port.OPERATORS);
  }

  private void checkBodiesInPiecesThatStopJustShort(Port port) throws Exception {
    check(
        port,
        client -> {
          client.send(port.head("Content-Length: " + port.bodyBytes() + "\r\n"));
          for (int sent = 0; sent < port.bodyBytes() - 1; sent += 8_000) {
            client.send("b".repeat(Math.min(8_000, port.bodyBytes() - 1 - sent)));
          }
        });
  }

  @Test
  void chunked_bodies_that_stop_just_short() throws Exception {
    checkChunkedBodiesThatStopJustShort(Port.CALLERS);
  }

  @Test
  void chunked_bodies_that_stop_just_short_at_the_operators_port() throws Exception {
    checkChunkedBodiesThatStopJustShort(Port.OPERATORS);
  }

  private void checkChunkedBodiesThatStopJustShort(Port port) throws Exception {
    check(
        port,
        client -> {
          client.send(port.head(CHUNKED));
          for (int sent = 0; sent < port.bodyBytes(); sent += 8_000) {
            client.send("1f40\r\n" + "b".repeat(8_000) + "\r\n");
          }
        });
  }

  @Test
  void pipelined_requests_with_unread_responses() throws Exception {
    check(Port.CALLERS, client -> client.sendRepeatedly(get("/catalogue").repeat(10)));
  }

  @Test
  void unread_streams() throws Exception {
    check(Port.CALLERS, client -> client.send(stream()));
  }

  @Test
  void pipelined_requests_behind_a_stream() throws Exception {
    check(
        Port.CALLERS,
        client -> {
          client.send(stream());
          client.sendRepeatedly(get("/catalogue").repeat(10));
        });
  }

  @Test
  void connections_that_send_nothing() throws Exception {
    check(Port.CALLERS, client -> client.send(""));
  }

  @Test
  void more_connections_than_descriptors() throws Exception {
    clients.check(
        Port.CALLERS,
        DESCRIPTORS + 100,
        List.of(client -> client.send("GET /catalogue HTTP/1.1\r\n")));
  }

  @Test
  void two_sets_of_clients_at_once() throws Exception {
    check(Port.CALLERS, wholeBody(Port.CALLERS), oneByteChunks());
  }

  /** Guards against limits that refuse the largest request that the settings allow. */
  @Test
  void a_single_request_of_the_largest_size_is_served() throws Exception {
    clients.checkLargestRequest();
  }
}
