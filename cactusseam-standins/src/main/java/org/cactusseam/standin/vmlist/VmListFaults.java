package org.cactusseam.standin.vmlist;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults of a simulated list of VMs. */
public record VmListFaults(
    @OptionDescription("receive requests but answer nothing") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("answer 503 to every request") boolean outage,
    @OptionDescription("time until a change of the list is visible, in milliseconds") long lagMs)
    implements Faults {

  /** No fault occurs. */
  public static final VmListFaults NONE = new VmListFaults(false, 0, false, 0);
}
