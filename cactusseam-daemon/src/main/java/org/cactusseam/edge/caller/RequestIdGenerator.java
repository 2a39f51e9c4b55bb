package org.cactusseam.edge.caller;

import java.util.concurrent.atomic.AtomicLong;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.admission.PermitRequestId;

/** Generates ids of requests and attempts that are unique in the deployment. Thread-safe. */
public final class RequestIdGenerator {

  private final NodeName node;
  private final String boot;
  private final AtomicLong next = new AtomicLong();

  /**
   * Creates a generator.
   *
   * @param node name of this daemon
   * @param boot id of this run of the daemon
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
