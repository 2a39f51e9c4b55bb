package org.cactusseam.model.admission;

import java.util.List;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ShardId;

/**
 * Asks the owner of a shard to let one attempt of a request run.
 *
 * @param id identity of the attempt
 * @param shard shard that should run it
 * @param request identity of the caller's request, for logs and queries
 * @param account client account
 * @param priorityClass class of the account
 * @param route route
 * @param promptTokens estimated length of the prompt, in tokens
 * @param prefixHashes hashes of the prompt's leading blocks, shortest prefix first
 * @param maximumTokens bound on the output stated by the caller, in tokens; 0 if none
 * @param timeToDeadlineMillis time until the caller's deadline, in milliseconds
 * @param excluded servers that failed earlier attempts
 * @param fingerprint hash of account, route and body, to recognise a request that crashes servers
 */
public record PermitRequest(
    PermitRequestId id,
    ShardId shard,
    String request,
    AccountName account,
    PriorityClassName priorityClass,
    RouteName route,
    int promptTokens,
    List<Long> prefixHashes,
    int maximumTokens,
    long timeToDeadlineMillis,
    List<BackendServerName> excluded,
    String fingerprint) {

  /** Copies the lists. */
  public PermitRequest {
    prefixHashes = List.copyOf(prefixHashes);
    excluded = List.copyOf(excluded);
  }
}
