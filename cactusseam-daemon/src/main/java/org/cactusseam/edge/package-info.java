/**
 * Wiring of the entry daemon: the core state machines with sockets, files and timers around them.
 */
@NullMarked
package org.cactusseam.edge;

import org.jspecify.annotations.NullMarked;
