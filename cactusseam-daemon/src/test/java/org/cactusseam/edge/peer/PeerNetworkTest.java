package org.cactusseam.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that are closed as half-open because nothing is sent on them. */
class PeerNetworkTest {

  private static final byte[] KEY =
      "key-of-at-least-thirty-two-bytes".getBytes(StandardCharsets.UTF_8);
  private static final PeerMessage FIRST = new PeerMessage.RecordsRequest(1);
  private static final PeerMessage SECOND = new PeerMessage.RecordsRequest(2);
  private static final PeerMessage THIRD = new PeerMessage.RecordsRequest(3);

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Context loop = vertx.getOrCreateContext();
  private final PausedClock clock = new PausedClock();
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<NodeName> connected = new LinkedBlockingQueue<>();
  private final Member sender = member("entry-1");
  private final Member receiver = member("entry-2");
  private PeerNetwork from;
  private PeerNetwork to;

  private final class Recorder implements PeerListener {
    @Override
    public void received(Member peer, PeerMessage message) {
      received.add(message);
    }

    @Override
    public void connected(Member peer) {
      connected.add(peer.node());
    }

    @Override
    public void refused(NodeName node, Instant attemptedAt) {}
  }

  private static Member member(String name) {
    return new Member(
        new NodeName(name),
        "b1",
        "127.0.0.1",
        freePort(),
        new FailureDomainName("a"),
        new RegionName("r"));
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException("no free port", e);
    }
  }

  @BeforeEach
  void open() throws Exception {
    to = listening(receiver);
    from = listening(sender);
    connect();
  }

  private PeerNetwork listening(Member self) throws Exception {
    PeerNetwork network =
        onLoop(() -> new PeerNetwork(vertx, clock, KEY, "cluster", self, new Recorder()));
    onLoop(network::listen).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    return network;
  }

  private void connect() throws Exception {
    run(() -> from.connect(receiver.node(), receiver.host(), receiver.peerPort()));
    assertThat(connected.poll(10, TimeUnit.SECONDS), is(receiver.node()));
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.runOnContext(
        ignored -> {
          try {
            result.complete(task.call());
          } catch (Exception e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(10, TimeUnit.SECONDS);
  }

  private void run(Runnable task) throws Exception {
    onLoop(
        () -> {
          task.run();
          return true;
        });
  }

  private PeerMessage next() throws InterruptedException {
    return received.poll(10, TimeUnit.SECONDS);
  }

  private void pass(long millis) {
    clock.advance(millis);
  }

  @Test
  void a_peer_that_was_sent_something_gets_the_message_only_when_it_is_idle() throws Exception {
    run(() -> from.sendToAll(FIRST));
    pass(PeerNetwork.KEEP_ALIVE.toMillis() - 1);
    run(() -> from.sendToIdle(SECOND));
    pass(1);
    run(() -> from.sendToIdle(THIRD));

    assertThat(next(), is(FIRST));
    assertThat(next(), is(THIRD));
  }

  @Test
  void the_message_for_idle_peers_counts_as_traffic() throws Exception {
    run(() -> from.sendToIdle(FIRST));
    run(() -> from.sendToIdle(SECOND));
    run(() -> from.sendToAll(THIRD));

    assertThat(next(), is(FIRST));
    assertThat(next(), is(THIRD));
  }

  @Test
  void a_message_that_was_lost_without_a_connection_does_not_count_as_traffic() throws Exception {
    run(() -> from.disconnect(receiver.node()));
    run(
        () -> {
          from.connect(receiver.node(), receiver.host(), receiver.peerPort());
          from.sendToAll(FIRST);
        });
    assertThat(connected.poll(10, TimeUnit.SECONDS), is(receiver.node()));
    run(() -> from.sendToIdle(SECOND));

    assertThat(next(), is(SECOND));
  }

  @Test
  void a_restarted_peer_gets_the_message_when_it_is_idle() throws Exception {
    run(() -> from.sendToAll(FIRST));
    assertThat(next(), is(FIRST));
    onLoop(to::close).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    to = listening(receiver);
    assertThat(connected.poll(10, TimeUnit.SECONDS), is(receiver.node()));
    pass(PeerNetwork.KEEP_ALIVE.toMillis());
    run(() -> from.sendToIdle(SECOND));

    assertThat(next(), is(SECOND));
  }
}
