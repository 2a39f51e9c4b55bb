package org.cactusseam.edge.platform;

import io.vertx.core.Future;
import java.util.List;

/** Client of the platform's list of live and leaving VMs. The list lags behind the actual state. */
public interface VirtualMachineList {

  /**
   * Reads the list.
   *
   * @return all VMs of the list; fails if the platform does not answer
   */
  Future<List<VirtualMachine>> list();
}
