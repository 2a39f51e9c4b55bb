/** Connections between entry daemons. */
@NullMarked
package org.cactusseam.edge.peer;

import org.jspecify.annotations.NullMarked;
