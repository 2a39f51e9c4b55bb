package org.cactusseam.standin.vmlist;

import org.cactusseam.standin.Faults;
import org.cactusseam.standin.OptionDescription;

/** Faults of a simulated list of VMs, which tests change at run time. */
public record VmListFaults(
    @OptionDescription("accept requests without answering them") boolean hang,
    @OptionDescription("refuse new connections for this time, in milliseconds; 0: accept them")
        long refuseConnectionsMs,
    @OptionDescription("answer every request with 503") boolean outage,
    @OptionDescription("time until a change of the list becomes visible, in milliseconds")
        long lagMs)
    implements Faults {

  /** Settings with all faults disabled. */
  public static final VmListFaults NONE = new VmListFaults(false, 0, false, 0);
}
