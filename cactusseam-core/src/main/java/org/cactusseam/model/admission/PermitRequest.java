package org.cactusseam.model.admission;

import java.util.List;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ShardId;

/**
 * Request to the owner of a shard for a permit to run one attempt of a caller's request.
 *
 * @param id identity of the attempt
 * @param shard shard that the permit is requested from
 * @param request identity of the caller's request, for logs and queries
 * @param account client account of the caller
 * @param priorityClass priority class of the account
 * @param route route that the caller addressed
 * @param promptTokens estimated length of the prompt, in tokens
 * @param prefixHashes hashes of the prompt's leading blocks, the shortest prefix first
 * @param maximumTokens limit on the output set by the caller, in tokens; 0 if none
 * @param timeToDeadlineMillis time until the caller's deadline, in milliseconds
 * @param excluded backend servers that failed earlier attempts of the request; empty for the first
 *     attempt
 * @param fingerprint hash of account, route and body, to recognize a request that crashes servers
 *     when it is sent again
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
