/** Log output: one line an event, as JSON or text. */
@NullMarked
package org.cactusseam.edge.logging;

import org.jspecify.annotations.NullMarked;
