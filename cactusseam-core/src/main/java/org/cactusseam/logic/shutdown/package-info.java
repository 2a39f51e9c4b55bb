/** Graceful end of a node's run. */
@NullMarked
package org.cactusseam.logic.shutdown;

import org.jspecify.annotations.NullMarked;
