/**
 * Replays request traces against admission control and simulated inference engines on a simulated
 * clock. The stand-in processes use the same engine model.
 */
@NullMarked
package org.cactusseam.logic.replay;

import org.jspecify.annotations.NullMarked;
