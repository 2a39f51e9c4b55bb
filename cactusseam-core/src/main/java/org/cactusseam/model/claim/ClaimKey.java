package org.cactusseam.model.claim;

import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import org.cactusseam.model.AccountName;

/**
 * Idempotency key of a request, unique within its client account. The key is a UUID of version 7
 * (RFC 9562), whose timestamp shows whether the log still retains every earlier claim of the same
 * key.
 *
 * @param account client account that sent the request
 * @param key UUID of version 7, chosen by the caller
 */
public record ClaimKey(AccountName account, UUID key) {

  private static final int VERSION = 7;
  private static final int RFC_9562_VARIANT = 2;
  private static final int BITS_BELOW_TIME = 16;

  /**
   * Validates version and variant, because only a UUID of version 7 contains the time of its
   * creation.
   *
   * @throws IllegalArgumentException if the UUID is not of version 7
   */
  public ClaimKey {
    if (key.version() != VERSION || key.variant() != RFC_9562_VARIANT) {
      throw new IllegalArgumentException("idempotency key is not a UUID of version 7: " + key);
    }
  }

  /**
   * Parses the value of the {@code Idempotency-Key} header.
   *
   * @param account client account that sent the request
   * @param text untrusted header value
   * @return the key, or empty if the text is not a UUID of version 7
   */
  public static Optional<ClaimKey> parse(AccountName account, String text) {
    try {
      UUID key = UUID.fromString(text);
      // UUID.fromString also accepts shortened groups such as 1-1-7001-8001-1, which are not valid
      // UUIDs.
      boolean canonical = key.toString().equals(text.toLowerCase(Locale.ROOT));
      return canonical ? Optional.of(new ClaimKey(account, key)) : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /**
   * Returns the timestamp contained in the key, which is set by the clock of the caller.
   *
   * @return timestamp with millisecond precision
   */
  public Instant time() {
    return Instant.ofEpochMilli(key.getMostSignificantBits() >>> BITS_BELOW_TIME);
  }
}
