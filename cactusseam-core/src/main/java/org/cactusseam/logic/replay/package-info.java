/** Recorded traces and their replay through the admission decision against a model of engines. */
@NullMarked
package org.cactusseam.logic.replay;

import org.jspecify.annotations.NullMarked;
