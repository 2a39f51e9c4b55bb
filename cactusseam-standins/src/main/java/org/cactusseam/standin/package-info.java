/** Simulated outside systems for tests and the demo; not shipped. */
@NullMarked
package org.cactusseam.standin;

import org.jspecify.annotations.NullMarked;
