/** Stand-in for a plain service. */
@NullMarked
package org.cactusseam.standin.plain;

import org.jspecify.annotations.NullMarked;
