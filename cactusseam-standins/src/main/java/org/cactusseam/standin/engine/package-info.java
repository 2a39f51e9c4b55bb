/** Simulated model engine with the HTTP protocol of real engines. */
@NullMarked
package org.cactusseam.standin.engine;

import org.jspecify.annotations.NullMarked;
