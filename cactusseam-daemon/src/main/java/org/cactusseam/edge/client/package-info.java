/** Connections of clients that are not under control, and the memory that is held for them. */
@NullMarked
package org.cactusseam.edge.client;

import org.jspecify.annotations.NullMarked;
