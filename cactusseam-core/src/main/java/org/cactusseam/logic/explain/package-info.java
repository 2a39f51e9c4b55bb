/** Reconstructs the course of a request from the log lines of several processes. */
@NullMarked
package org.cactusseam.logic.explain;

import org.jspecify.annotations.NullMarked;
