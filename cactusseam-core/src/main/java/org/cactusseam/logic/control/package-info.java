/** State machine over the control log. */
@NullMarked
package org.cactusseam.logic.control;

import org.jspecify.annotations.NullMarked;
