/** Ownership of admission shards. */
@NullMarked
package org.cactusseam.logic.membership;

import org.jspecify.annotations.NullMarked;
