/** Stand-in for the platform's list of VMs. */
@NullMarked
package org.cactusseam.standin.vmlist;

import org.jspecify.annotations.NullMarked;
