package org.cactusseam.edge.settings;

import java.security.MessageDigest;

/** Bytes that must not appear in logs, messages or command output. */
public final class Secret {

  private static final String MASK = "***";

  private final byte[] bytes;

  /**
   * Creates a secret.
   *
   * @param bytes content, copied
   */
  public Secret(byte[] bytes) {
    this.bytes = bytes.clone();
  }

  /**
   * Returns the content.
   *
   * @return a copy
   */
  public byte[] bytes() {
    return bytes.clone();
  }

  /** Compares in constant time, so that a comparison does not leak the content by its duration. */
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
