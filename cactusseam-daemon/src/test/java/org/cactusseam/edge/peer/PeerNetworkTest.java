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

/**
 * Guards against healthy connections that the peer closes as half-open, because no keep-alive
 * message was sent on them for the idle timeout.
 */
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
  private PeerNetwork senderNetwork;
  private PeerNetwork receiverNetwork;

  private final class RecordingListener implements PeerListener {
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
  void connectNetworks() throws Exception {
    receiverNetwork = startNetwork(receiver);
    senderNetwork = startNetwork(sender);
    connectSender();
  }

  private PeerNetwork startNetwork(Member self) throws Exception {
    PeerNetwork network =
        onLoop(() -> new PeerNetwork(vertx, clock, KEY, "cluster", self, new RecordingListener()));
    onLoop(network::listen).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    return network;
  }

  private void connectSender() throws Exception {
    runOnLoop(() -> senderNetwork.connect(receiver.node(), receiver.host(), receiver.peerPort()));
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

  private void runOnLoop(Runnable task) throws Exception {
    onLoop(
        () -> {
          task.run();
          return true;
        });
  }

  private PeerMessage nextMessage() throws InterruptedException {
    return received.poll(10, TimeUnit.SECONDS);
  }

  private void advanceClock(long millis) {
    clock.advance(millis);
  }

  @Test
  void a_peer_gets_the_keep_alive_only_after_being_sent_nothing_for_the_interval()
      throws Exception {
    runOnLoop(() -> senderNetwork.sendToAll(FIRST));
    advanceClock(PeerNetwork.KEEP_ALIVE.toMillis() - 1);
    runOnLoop(() -> senderNetwork.sendToIdle(SECOND));
    advanceClock(1);
    runOnLoop(() -> senderNetwork.sendToIdle(THIRD));

    assertThat(nextMessage(), is(FIRST));
    assertThat(nextMessage(), is(THIRD));
  }

  @Test
  void a_keep_alive_counts_as_traffic() throws Exception {
    runOnLoop(() -> senderNetwork.sendToIdle(FIRST));
    runOnLoop(() -> senderNetwork.sendToIdle(SECOND));
    runOnLoop(() -> senderNetwork.sendToAll(THIRD));

    assertThat(nextMessage(), is(FIRST));
    assertThat(nextMessage(), is(THIRD));
  }

  @Test
  void a_message_dropped_without_a_connection_does_not_count_as_traffic() throws Exception {
    runOnLoop(() -> senderNetwork.disconnect(receiver.node()));
    runOnLoop(
        () -> {
          senderNetwork.connect(receiver.node(), receiver.host(), receiver.peerPort());
          senderNetwork.sendToAll(FIRST);
        });
    assertThat(connected.poll(10, TimeUnit.SECONDS), is(receiver.node()));
    runOnLoop(() -> senderNetwork.sendToIdle(SECOND));

    assertThat(nextMessage(), is(SECOND));
  }

  @Test
  void a_restarted_peer_gets_the_keep_alive_when_it_is_idle() throws Exception {
    runOnLoop(() -> senderNetwork.sendToAll(FIRST));
    assertThat(nextMessage(), is(FIRST));
    onLoop(receiverNetwork::close)
        .toCompletionStage()
        .toCompletableFuture()
        .get(10, TimeUnit.SECONDS);
    receiverNetwork = startNetwork(receiver);
    assertThat(connected.poll(10, TimeUnit.SECONDS), is(receiver.node()));
    advanceClock(PeerNetwork.KEEP_ALIVE.toMillis());
    runOnLoop(() -> senderNetwork.sendToIdle(SECOND));

    assertThat(nextMessage(), is(SECOND));
  }
}
