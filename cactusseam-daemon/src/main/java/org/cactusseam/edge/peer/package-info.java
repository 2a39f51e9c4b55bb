/** Authenticated connections between entry daemons, and the encoding of their messages. */
@NullMarked
package org.cactusseam.edge.peer;

import org.jspecify.annotations.NullMarked;
