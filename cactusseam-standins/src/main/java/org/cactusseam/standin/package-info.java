/** Simulated external systems for tests and the demo; not part of the distribution. */
@NullMarked
package org.cactusseam.standin;

import org.jspecify.annotations.NullMarked;
