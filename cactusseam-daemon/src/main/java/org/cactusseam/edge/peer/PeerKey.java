package org.cactusseam.edge.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cactusseam.model.message.PeerMessage;

/** Mutual authentication of entry daemons by challenge and response under the cluster key. */
final class PeerKey {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int CHALLENGE_BYTES = 18;

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  /**
   * Creates an authenticator.
   *
   * @param key cluster key
   */
  PeerKey(byte[] key) {
    this.key = new SecretKeySpec(key, ALGORITHM);
  }

  /**
   * Makes a challenge.
   *
   * @return random text
   */
  String challenge() {
    byte[] bytes = new byte[CHALLENGE_BYTES];
    random.nextBytes(bytes);
    return Base64.getEncoder().encodeToString(bytes);
  }

  /**
   * Signs the other side's challenge. The signature covers the signer's own hello, so that it
   * cannot be reflected or used for another name.
   *
   * @param challenge challenge of the other side
   * @param own hello of the signer
   * @return signature
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
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }

  /**
   * Checks a signature of the other side.
   *
   * @param challenge own challenge
   * @param other hello of the other side
   * @param signature signature of the other side
   * @return true if the other side has the cluster key
   */
  boolean verify(String challenge, PeerMessage.Hello other, String signature) {
    return MessageDigest.isEqual(
        sign(challenge, other).getBytes(StandardCharsets.UTF_8),
        signature.getBytes(StandardCharsets.UTF_8));
  }
}
