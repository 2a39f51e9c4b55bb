/** Simulated engines for trace replay and for the stand-in processes. */
@NullMarked
package org.cactusseam.logic.replay;

import org.jspecify.annotations.NullMarked;
