/** Simulated append-only log of the platform. */
@NullMarked
package org.cactusseam.standin.log;

import org.jspecify.annotations.NullMarked;
