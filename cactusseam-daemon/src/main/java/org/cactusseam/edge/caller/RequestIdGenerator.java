package org.cactusseam.edge.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.admission.PermitRequestId;

/**
 * Source of identities of requests and attempts, unique in the deployment. Safe for all threads.
 */
public final class RequestIdGenerator {

  private final NodeName node;
  private final String boot;
  private final AtomicLong next = new AtomicLong();

  /**
   * Creates a source.
   *
   * @param node this daemon
   * @param boot identity of its run
   */
  public RequestIdGenerator(NodeName node, String boot) {
    this.node = node;
    this.boot = boot;
  }

  PermitRequestId nextAttempt() {
    return new PermitRequestId(node, boot, next.incrementAndGet());
  }

  String nextRequest() {
    return node + "-" + boot + "-" + next.incrementAndGet();
  }
}
