package org.cactusseam.model;

import java.util.List;

/**
 * Configuration of a client account, which sends requests.
 *
 * @param name name of the account
 * @param priorityClass priority class of all its requests
 * @param share purchased share of a pool, relative to the sum over all accounts of the pool; 0
 *     reserves nothing
 * @param keyHashes SHA-256 hash of each valid API key, in lower-case hexadecimal digits
 */
public record ClientAccount(
    AccountName name, PriorityClassName priorityClass, int share, List<String> keyHashes)
    implements ConfigurationObject {

  /** Copies the list and rejects a negative share. */
  public ClientAccount {
    if (share < 0) {
      throw new IllegalArgumentException("share must not be negative: " + share);
    }
    keyHashes = List.copyOf(keyHashes);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.ACCOUNT, name.value());
  }
}
