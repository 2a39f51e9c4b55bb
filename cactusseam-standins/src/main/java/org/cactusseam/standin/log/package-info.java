/** Stand-in for the platform's log. */
@NullMarked
package org.cactusseam.standin.log;

import org.jspecify.annotations.NullMarked;
