/** Control state of the entry daemon, all on one thread. */
@NullMarked
package org.cactusseam.edge.control;

import org.jspecify.annotations.NullMarked;
