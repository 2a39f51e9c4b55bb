/** Graceful shutdown of an entry daemon. */
@NullMarked
package org.cactusseam.logic.shutdown;

import org.jspecify.annotations.NullMarked;
