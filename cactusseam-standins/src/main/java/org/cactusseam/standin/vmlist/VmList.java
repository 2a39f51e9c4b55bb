package org.cactusseam.standin.vmlist;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The list of VMs as the protocol carries it.
 *
 * @param vms entries
 */
public record VmList(List<Vm> vms) {

  /** A list without entries. */
  public static final VmList EMPTY = new VmList(List.of());

  /** Copies the entries. */
  public VmList {
    vms = List.copyOf(vms);
  }

  /**
   * An entry.
   *
   * @param name name of the VM
   * @param host IP address
   * @param peerPort TCP port for messages between entry daemons
   * @param failureDomain failure domain of the VM
   * @param region region of the VM
   * @param state whether the VM leaves
   */
  public record Vm(
      String name, String host, int peerPort, String failureDomain, String region, State state) {}

  /** State of a VM. */
  public enum State {
    /** The VM is in use. */
    @JsonProperty("live")
    LIVE,
    /** The VM ends soon. */
    @JsonProperty("leaving")
    LEAVING
  }
}
