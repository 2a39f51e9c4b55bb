/** Limits of the memory that a process holds for its clients. No I/O, threads or timers. */
@NullMarked
package org.cactusseam.logic.memory;

import org.jspecify.annotations.NullMarked;
