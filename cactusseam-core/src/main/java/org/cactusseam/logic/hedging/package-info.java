/**
 * Decisions on hedged requests: when a slow repeatable request is sent to a second server, within a
 * limit on the extra requests.
 */
@NullMarked
package org.cactusseam.logic.hedging;

import org.jspecify.annotations.NullMarked;
