/** Simulated backend server of a plain request-response service. */
@NullMarked
package org.cactusseam.standin.plain;

import org.jspecify.annotations.NullMarked;
