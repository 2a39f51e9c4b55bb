package org.cactusseam.logic.stream;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Names;

/**
 * Identity of a generation as exposed to callers. It contains the server, the stream and the
 * account, so that any entry daemon can resume the generation without stored state. The signature
 * prevents callers from accessing streams of other accounts.
 *
 * @param server backend server that runs the generation
 * @param incarnation identity of the backend server process
 * @param stream identity of the stream within the engine
 * @param account owning client account
 */
public record GenerationId(
    BackendServerName server, String incarnation, String stream, AccountName account) {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int SIGNATURE_BYTES = 12;
  private static final Pattern SEPARATOR = Pattern.compile("~");
  private static final int FIELD_COUNT = 5;

  /**
   * Encodes the identity with its signature.
   *
   * @param key cluster key that signs the identity
   * @return text of URL-safe characters
   */
  public String encode(byte[] key) {
    String payload = String.join("~", server.value(), incarnation, stream, account.value());
    return payload + "~" + signature(payload, key);
  }

  /**
   * Decodes an identity and verifies its signature.
   *
   * @param text untrusted text from a caller
   * @param key cluster key that signed the identity
   * @return the identity, or empty if the text was not created by {@link #encode} with this key
   */
  public static Optional<GenerationId> decode(String text, byte[] key) {
    List<String> fields = List.of(SEPARATOR.split(text, -1));
    if (fields.size() != FIELD_COUNT
        || !Names.isValid(fields.get(0))
        || !Names.isValid(fields.get(3))) {
      return Optional.empty();
    }
    String payload = text.substring(0, text.lastIndexOf('~'));
    byte[] expected = signature(payload, key).getBytes(StandardCharsets.UTF_8);
    byte[] actual = fields.get(4).getBytes(StandardCharsets.UTF_8);
    if (!MessageDigest.isEqual(expected, actual)) {
      return Optional.empty();
    }
    return Optional.of(
        new GenerationId(
            new BackendServerName(fields.get(0)),
            fields.get(1),
            fields.get(2),
            new AccountName(fields.get(3))));
  }

  private static String signature(String payload, byte[] key) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      byte[] digest = mac.doFinal(payload.getBytes(StandardCharsets.UTF_8));
      byte[] shortened = java.util.Arrays.copyOf(digest, SIGNATURE_BYTES);
      return Base64.getUrlEncoder().withoutPadding().encodeToString(shortened);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform provides " + ALGORITHM, e);
    }
  }
}
