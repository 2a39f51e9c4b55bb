package org.cactusseam.edge.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;

/**
 * VM as described in the platform's list of VMs.
 *
 * @param name name of the entry daemon on the VM
 * @param host IP address of the VM
 * @param peerPort port for messages between entry daemons
 * @param domain failure domain of the VM
 * @param region region of the VM
 * @param state {@code live} or {@code leaving}
 */
public record VirtualMachine(
    NodeName name,
    String host,
    @JsonProperty("peer_port") int peerPort,
    @JsonProperty("failure_domain") FailureDomainName domain,
    RegionName region,
    String state) {}
