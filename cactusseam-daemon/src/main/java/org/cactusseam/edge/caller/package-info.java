/** HTTP interface towards callers. */
@NullMarked
package org.cactusseam.edge.caller;

import org.jspecify.annotations.NullMarked;
