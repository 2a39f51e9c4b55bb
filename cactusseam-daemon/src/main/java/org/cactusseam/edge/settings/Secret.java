package org.cactusseam.edge.settings;

import java.security.MessageDigest;

/**
 * Secret bytes. The text form is masked, so that logs, messages and command output do not reveal
 * them.
 */
public final class Secret {

  private static final String MASK = "***";

  private final byte[] bytes;

  /**
   * Creates a secret.
   *
   * @param bytes content, which is copied
   */
  public Secret(byte[] bytes) {
    this.bytes = bytes.clone();
  }

  /**
   * Returns the secret bytes.
   *
   * @return copy of the content
   */
  public byte[] bytes() {
    return bytes.clone();
  }

  /**
   * Compares in constant time, so that the duration of a comparison does not reveal the content.
   */
  @Override
  public boolean equals(Object other) {
    return other instanceof Secret secret && MessageDigest.isEqual(bytes, secret.bytes);
  }

  @Override
  public int hashCode() {
    return bytes.length;
  }

  @Override
  public String toString() {
    return MASK;
  }
}
