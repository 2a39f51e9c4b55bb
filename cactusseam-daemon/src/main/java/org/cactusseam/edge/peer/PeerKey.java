package org.cactusseam.edge.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cactusseam.model.message.PeerMessage;

/**
 * Signs and verifies the proofs by which entry daemons authenticate each other, with HMAC-SHA256
 * under the cluster key.
 */
final class PeerKey {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int CHALLENGE_BYTES = 18;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  /**
   * Creates an instance.
   *
   * @param key cluster key, shared by all entry daemons of the deployment
   */
  PeerKey(byte[] key) {
    this.key = new SecretKeySpec(key, ALGORITHM);
  }

  /**
   * Creates a random challenge.
   *
   * @return 18 random bytes, encoded as Base64
   */
  String createChallenge() {
    byte[] bytes = new byte[CHALLENGE_BYTES];
    random.nextBytes(bytes);
    return Base64.getEncoder().encodeToString(bytes);
  }

  /**
   * Signs a challenge. The signature also covers the signer's own hello, so that it can be neither
   * reflected to its sender nor used under another name.
   *
   * @param challenge challenge of the other side
   * @param own hello of the signer
   * @return signature, encoded as Base64
   */
  String sign(String challenge, PeerMessage.Hello own) {
    String text =
        String.join(
            "|",
            challenge,
            own.challenge(),
            own.cluster(),
            own.member().node().value(),
            own.member().boot());
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return Base64.getEncoder().encodeToString(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(
          "missing algorithm that every Java platform must provide: " + ALGORITHM, e);
    }
  }

  /**
   * Verifies a signature of the other side, in constant time.
   *
   * @param challenge challenge that this side sent
   * @param other hello of the other side
   * @param signature signature that the other side sent
   * @return true if the other side has the cluster key
   */
  boolean verify(String challenge, PeerMessage.Hello other, String signature) {
    return MessageDigest.isEqual(
        sign(challenge, other).getBytes(StandardCharsets.UTF_8),
        signature.getBytes(StandardCharsets.UTF_8));
  }
}
