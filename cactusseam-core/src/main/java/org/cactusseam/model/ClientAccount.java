package org.cactusseam.model;

import java.util.List;

/**
 * A customer that sends requests.
 *
 * @param name name
 * @param priorityClass class of all its requests
 * @param share bought share, in parts of the sum over all accounts of the pool; 0 buys nothing
 * @param keyHashes SHA-256 of each valid key, in lower-case hexadecimal digits
 */
public record ClientAccount(
    AccountName name, PriorityClassName priorityClass, int share, List<String> keyHashes)
    implements ConfigurationObject {

  /** Copies the list and checks the share. */
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
