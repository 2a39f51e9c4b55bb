/** Clients of the platform's services: the append-only log and the list of VMs. */
@NullMarked
package org.cactusseam.edge.platform;

import org.jspecify.annotations.NullMarked;
