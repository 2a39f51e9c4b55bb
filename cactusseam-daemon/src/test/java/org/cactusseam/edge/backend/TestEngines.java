package org.cactusseam.edge.backend;

import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.ServiceState;

/** Creates configuration objects for engines that tests run on the loopback interface. */
public final class TestEngines {

  private TestEngines() {}

  /** Returns an engine on the given port of the loopback interface that checks fencing numbers. */
  public static BackendServer at(int port) {
    return new BackendServer(
        new BackendServerName("llm-1"),
        new PoolName("llm"),
        new FailureDomainName("ost-wien"),
        BackendKind.ENGINE,
        "127.0.0.1",
        port,
        true,
        1,
        8,
        1000,
        ServiceState.IN);
  }
}
