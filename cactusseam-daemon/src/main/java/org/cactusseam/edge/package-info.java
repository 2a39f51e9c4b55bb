/**
 * Entry daemon: connects the state machines of {@code org.cactusseam.logic} to sockets, files and
 * timers.
 */
@NullMarked
package org.cactusseam.edge;

import org.jspecify.annotations.NullMarked;
