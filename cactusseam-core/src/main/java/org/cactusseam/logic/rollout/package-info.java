/** Decisions on moving a service's traffic to servers of another version. */
@NullMarked
package org.cactusseam.logic.rollout;

import org.jspecify.annotations.NullMarked;
