package org.cactusseam.edge.client;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.lang.reflect.Proxy;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against limits on memory that cut off the requests of sound callers. */
class CallerConnectionTest {

  private static final long TOTAL_BYTES = 1 << 20;
  private static final int READ_BYTES = 16 << 10;

  private final List<Handler<Void>> endHandlers = new ArrayList<>();
  private Instant now = Instant.EPOCH;
  private final Clock clock =
      new Clock() {
        @Override
        public ZoneOffset getZone() {
          return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(java.time.ZoneId zone) {
          return this;
        }

        @Override
        public Instant instant() {
          return now;
        }
      };
  private final ClientMemory memory = new ClientMemory(clock, TOTAL_BYTES, 32 << 10);
  private final ConnectionMeter meter = new ConnectionMeter();
  private final EmbeddedChannel channel = new EmbeddedChannel(meter);
  private final List<String> closed = new ArrayList<>();
  private final CallerConnection connection =
      new CallerConnection(
          stub(HttpConnection.class), meter, memory, (each, limit) -> closed.add(limit), now);

  @SuppressWarnings("unchecked") // The only parameter of the method that is stubbed.
  private <T> T stub(Class<T> type) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("Content-Length", "1000000");
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) ->
                switch (method.getName()) {
                  case "headers" -> headers;
                  case "getHeader" -> headers.get(String.valueOf(arguments[0]));
                  case "uri" -> "/lookup/x";
                  case "endHandler" -> {
                    endHandlers.add((Handler<Void>) arguments[0]);
                    yield proxy;
                  }
                  default -> null;
                }));
  }

  private BodyReader reader() {
    return new BodyReader(stub(HttpServerRequest.class), 4 << 20, connection, memory);
  }

  private void receive(int bytes) {
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  /** Holds all memory in reservations that each use the part for small ones. */
  private void exhaust() {
    for (int index = 0; index < TOTAL_BYTES / (64 << 10); index++) {
      memory.reserve(owner(), "other", 64 << 10);
    }
  }

  private static ClientMemory.Owner owner() {
    return new ClientMemory.Owner() {
      @Override
      public void onGranted() {}

      @Override
      public void onRefused() {}
    };
  }

  private void refuseWaiting() {
    now = now.plus(Duration.ofMillis(600));
    memory.tick();
  }

  /** Guards against the 32-fold charge for bytes of a body that arrive with the head. */
  @Test
  void the_start_of_a_body_is_not_charged_as_head() {
    receive(READ_BYTES);
    connection.recordRequestStart(reader(), now);

    assertThat(memory.heldBytes(), lessThan(64L << 10));
  }

  /** Guards against a pipelined request without memory that ends the response before it. */
  @Test
  void a_refused_head_does_not_close_the_connection_of_an_open_request() {
    BodyReader reader = reader();
    connection.recordRequestStart(reader, now);
    reader.read();
    reader.refuse("test");
    endHandlers.forEach(each -> each.handle(null));
    exhaust();
    receive(READ_BYTES);
    refuseWaiting();

    assertThat(closed, empty());

    connection.recordRequestEnd(now);
    connection.retryRefused();
    refuseWaiting();
    assertThat(closed, contains("memory"));
  }

  /** Guards against closing a connection as idle that still writes a response. */
  @Test
  void a_connection_is_not_idle_while_a_request_waits_for_writability() {
    assertThat(connection.isIdle(), is(true));
    meter.onceWritable(() -> {});

    assertThat(connection.isIdle(), is(false));
  }

  /** Guards against the limit on the time for a head that includes a stop of the process. */
  @Test
  void time_in_which_the_process_was_stopped_does_not_count_for_a_head() {
    receive(10);
    assertThat(connection.exceedsHeadTime(now), is(false));
    now = now.plusSeconds(20);
    connection.skipTime(Duration.ofSeconds(20), now);

    assertThat(connection.exceedsHeadTime(now), is(false));
    assertThat(connection.exceedsHeadTime(now.plusSeconds(10)), is(true));
  }

  /** Guards against reservations that nothing ends. */
  @Test
  void a_closed_connection_reserves_nothing() {
    connection.releaseAll();
    receive(READ_BYTES);
    reader().read();
    connection.releaseHead();

    assertThat(memory.heldBytes(), is(0L));
    assertThat(channel.inboundMessages().isEmpty(), is(true));
  }

  /** Guards against one owner that ends the hold of another one. */
  @Test
  void a_connection_is_read_when_all_owners_have_released_it() {
    Object other = new Object();
    meter.hold(other);
    meter.hold(this);
    meter.release(other);
    assertThat(channel.config().isAutoRead(), is(false));

    meter.release(this);
    assertThat(channel.config().isAutoRead(), is(true));
  }

  /** Guards against small reservations for heads that use up the part that is kept for requests. */
  @Test
  void many_incomplete_heads_do_not_use_up_the_reserve() {
    for (int index = 0; index < 60; index++) {
      ConnectionMeter otherMeter = new ConnectionMeter();
      EmbeddedChannel otherChannel = new EmbeddedChannel(otherMeter);
      CallerConnection other =
          new CallerConnection(
              stub(HttpConnection.class),
              otherMeter,
              memory,
              (each, limit) -> {
                closed.add(limit);
                each.releaseAll();
              },
              now);
      otherChannel.writeInbound(Unpooled.wrappedBuffer(new byte[2_000]));
      assertThat(other.isClosed(), is(false));
    }

    assertThat(memory.heldBytes(), lessThan(TOTAL_BYTES / 2));
    assertThat(memory.isExhausted(), is(false));
    assertThat(closed.get(0), is("incomplete_heads"));
  }

  /** Guards against closing a connection that holds little, which does not help what waits. */
  @Test
  void only_a_connection_with_a_large_reservation_is_closed_when_memory_is_exhausted() {
    BodyReader reader = reader();
    connection.recordRequestStart(reader, now);
    Instant later = now.plusMillis(2_500);
    assertThat(
        CallerConnections.findLargestWithoutProgress(List.of(connection), later).isPresent(),
        is(false));

    memory.reserve(reader, "", 100 << 10);
    assertThat(
        CallerConnections.findLargestWithoutProgress(List.of(connection), later).isPresent(),
        is(true));
  }

  /** Guards against a process that exits while it keeps a head that has arrived. */
  @Test
  void a_head_that_waits_for_memory_is_unfinished() {
    assertThat(connection.hasUnfinishedRequest(), is(false));
    exhaust();
    receive(100);

    assertThat(connection.hasUnfinishedRequest(), is(true));
  }

  /** Guards against a close that waits for a peer that does not read what was written. */
  @Test
  void a_close_does_not_wait_for_what_the_peer_has_not_read() {
    channel
        .pipeline()
        .addFirst(
            new ChannelOutboundHandlerAdapter() {
              @Override
              public void flush(ChannelHandlerContext context) {
                // The peer does not read, so nothing that was written leaves the queue.
              }
            });
    channel.write(Unpooled.wrappedBuffer(new byte[READ_BYTES]));
    channel.flush();
    // The queue counts the buffer with the size of its entry.
    assertThat(meter.unsent(), greaterThanOrEqualTo((long) READ_BYTES));

    meter.closeNow();
    assertThat(channel.isOpen(), is(false));
  }
}
