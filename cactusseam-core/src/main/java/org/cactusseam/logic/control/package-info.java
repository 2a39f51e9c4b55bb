/**
 * Deterministic state machine over the control log, with its snapshots and the confirmation of
 * commands.
 */
@NullMarked
package org.cactusseam.logic.control;

import org.jspecify.annotations.NullMarked;
