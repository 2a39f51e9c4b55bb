package org.cactusseam.edge.peer;

import io.vavr.control.Either;
import java.util.Optional;
import org.cactusseam.model.message.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * State of the handshake at one side of a connection. Each side sends its hello with a challenge,
 * then a proof that answers the other side's challenge. The connection is open when the other
 * side's proof was verified.
 */
final class PeerHandshake {

  private final PeerKey key;
  private final PeerMessage.Hello own;
  private PeerMessage.@Nullable Hello other;
  private boolean open;

  /**
   * Starts a handshake.
   *
   * @param key signs and verifies proofs with the cluster key
   * @param own hello that this side has sent or will send
   */
  PeerHandshake(PeerKey key, PeerMessage.Hello own) {
    this.key = key;
    this.own = own;
  }

  /**
   * Handles a message that arrived before the connection was open.
   *
   * @param message message from the other side
   * @return the message to reply with, if any, or the reason to close the connection
   */
  Either<String, Optional<PeerMessage>> receive(PeerMessage message) {
    return switch (message) {
      case PeerMessage.Hello hello -> receiveHello(hello);
      case PeerMessage.Proof proof -> receiveProof(proof);
      default -> Either.left("message other than hello and proof before the end of the handshake");
    };
  }

  private Either<String, Optional<PeerMessage>> receiveHello(PeerMessage.Hello hello) {
    if (other != null) {
      return Either.left("second hello on one connection");
    }
    if (hello.protocol() != PeerMessage.PROTOCOL_VERSION) {
      return Either.left("unsupported protocol version " + hello.protocol());
    }
    if (!hello.cluster().equals(own.cluster())) {
      return Either.left("peer belongs to another cluster");
    }
    other = hello;
    return Either.right(Optional.of(new PeerMessage.Proof(key.sign(hello.challenge(), own))));
  }

  private Either<String, Optional<PeerMessage>> receiveProof(PeerMessage.Proof proof) {
    if (other == null || !key.verify(own.challenge(), other, proof.signature())) {
      return Either.left("invalid proof of the cluster key");
    }
    open = true;
    return Either.right(Optional.empty());
  }

  /**
   * Tells whether the other side has proved that it has the cluster key.
   *
   * @return true after a valid proof
   */
  boolean isOpen() {
    return open;
  }

  /**
   * Returns the hello of the other side.
   *
   * @return its hello, or empty before it arrived
   */
  Optional<PeerMessage.Hello> other() {
    return Optional.ofNullable(other);
  }
}
