package org.cactusseam.standin.vmlist;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The list of VMs in the format of the platform's protocol.
 *
 * @param vms all VMs of the deployment
 */
public record VmList(List<Vm> vms) {

  /** A list without VMs. */
  public static final VmList EMPTY = new VmList(List.of());

  /** Copies the list, so that the record is immutable. */
  public VmList {
    vms = List.copyOf(vms);
  }

  /**
   * A VM in the list.
   *
   * @param name name of the VM
   * @param host IP address of the VM
   * @param peerPort TCP port for messages between entry daemons
   * @param failureDomain failure domain of the VM
   * @param region region of the VM
   * @param state whether the VM is in use or about to end
   */
  public record Vm(
      String name, String host, int peerPort, String failureDomain, String region, State state) {}

  /** State of a VM. */
  public enum State {
    /** The VM is in use. */
    @JsonProperty("live")
    LIVE,
    /** The platform will end the VM soon. */
    @JsonProperty("leaving")
    LEAVING
  }
}
