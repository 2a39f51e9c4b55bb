/** Structured log output: one event per line, as JSON or text. */
@NullMarked
package org.cactusseam.edge.logging;

import org.jspecify.annotations.NullMarked;
