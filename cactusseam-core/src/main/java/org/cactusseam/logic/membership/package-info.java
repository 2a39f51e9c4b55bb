/** Membership of entry daemons, failure detection, and ownership and leases of admission shards. */
@NullMarked
package org.cactusseam.logic.membership;

import org.jspecify.annotations.NullMarked;
