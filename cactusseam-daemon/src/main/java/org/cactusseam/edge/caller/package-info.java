/** HTTP server for callers, and the handling of their requests. */
@NullMarked
package org.cactusseam.edge.caller;

import org.jspecify.annotations.NullMarked;
