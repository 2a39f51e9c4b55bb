package org.cactusseam.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.message.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against authenticating peers that do not have the cluster key, including peers that replay
 * the messages of this side.
 */
class PeerHandshakeTest {

  private static PeerKey createKey(String text) {
    return new PeerKey(text.getBytes(StandardCharsets.UTF_8));
  }

  private static PeerMessage.Hello createHello(
      int version, String cluster, String node, PeerKey key) {
    Member member =
        new Member(
            new NodeName(node),
            "b1",
            "127.0.0.1",
            1,
            new FailureDomainName("domain"),
            new RegionName("region"));
    return new PeerMessage.Hello(version, cluster, member, key.createChallenge());
  }

  @ParameterizedTest(name = "version {0}, cluster {1}, key {2}: open {3}")
  @CsvSource({
    "1, zopfwerk, right, true",
    "2, zopfwerk, right, false",
    "1, flagline, right, false",
    "1, zopfwerk, wrong, false"
  })
  void a_connection_opens_only_for_the_same_version_cluster_and_key(
      int version, String cluster, String otherKey, boolean isOpenExpected) {
    PeerKey ownKey = createKey("right");
    PeerMessage.Hello own = createHello(1, "zopfwerk", "entry-1", ownKey);
    PeerKey peerKey = createKey(otherKey);
    PeerMessage.Hello other = createHello(version, cluster, "entry-2", peerKey);
    PeerHandshake handshake = new PeerHandshake(ownKey, own);

    Either<String, Optional<PeerMessage>> first = handshake.receive(other);
    if (first.isRight()) {
      handshake.receive(new PeerMessage.Proof(peerKey.sign(own.challenge(), other)));
    }

    assertThat(handshake.isOpen(), is(isOpenExpected));
  }

  @Test
  void a_proof_cannot_be_reflected_to_its_sender() {
    PeerKey ownKey = createKey("right");
    PeerMessage.Hello own = createHello(1, "zopfwerk", "entry-1", ownKey);
    PeerHandshake handshake = new PeerHandshake(ownKey, own);
    PeerMessage.Hello forged =
        new PeerMessage.Hello(
            1, "zopfwerk", createHello(1, "zopfwerk", "entry-2", ownKey).member(), own.challenge());

    PeerMessage reply = handshake.receive(forged).get().orElseThrow();
    handshake.receive(reply);

    assertThat(handshake.isOpen(), is(false));
  }

  @Property(tries = 10_000, seed = "815")
  void no_sequence_of_messages_without_the_key_opens_a_connection(
      @ForAll @Size(max = 8) List<@IntRange(max = 4) Integer> choices) {
    PeerKey ownKey = createKey("right");
    PeerKey strangerKey = createKey("wrong");
    PeerMessage.Hello own = createHello(1, "zopfwerk", "entry-1", ownKey);
    PeerMessage.Hello stranger = createHello(1, "zopfwerk", "entry-2", strangerKey);
    PeerHandshake handshake = new PeerHandshake(ownKey, own);
    for (int choice : choices) {
      PeerMessage message =
          switch (choice) {
            case 0 -> stranger;
            case 1 -> new PeerMessage.Proof(strangerKey.sign(own.challenge(), stranger));
            case 2 -> own;
            case 3 -> new PeerMessage.Proof("");
            default -> new PeerMessage.ListRequests(1);
          };

      handshake.receive(message);
    }

    assertThat(handshake.isOpen(), is(false));
  }
}
