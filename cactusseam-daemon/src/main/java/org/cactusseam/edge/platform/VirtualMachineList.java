package org.cactusseam.edge.platform;

import io.vertx.core.Future;
import java.util.List;

/** The platform's list of live and leaving VMs. It lags behind the actual state. */
public interface VirtualMachineList {

  /**
   * Reads the list.
   *
   * @return all entries; fails if the platform does not answer
   */
  Future<List<VirtualMachine>> list();
}
