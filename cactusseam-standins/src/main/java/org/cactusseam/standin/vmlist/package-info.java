/** Simulated list of VMs that the platform provides. */
@NullMarked
package org.cactusseam.standin.vmlist;

import org.jspecify.annotations.NullMarked;
