package org.cactusseam.logic.rollout;

import java.util.Map;

/**
 * What one VM tells the candidates for coordinating an order.
 *
 * @param node name of the VM
 * @param startedAtMillis start of its process, in milliseconds since the Unix epoch
 * @param service name of the service
 * @param orderId identifier of the order
 * @param stage name of the stage that the VM follows; empty if it knows none; draining only while
 *     all its requests go to the new version, shifting before
 * @param oldRuns requests that the VM runs on servers that are replaced
 * @param counts responses since it read the order
 */
public record RolloutReport(
    String node,
    long startedAtMillis,
    String service,
    long orderId,
    String stage,
    int oldRuns,
    Map<EvidenceKey, ResponseCounts> counts) {

  /** Copies the map. */
  public RolloutReport {
    counts = Map.copyOf(counts);
  }
}
