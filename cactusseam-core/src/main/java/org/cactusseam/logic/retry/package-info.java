/** When a failed attempt of a request is followed by another one. */
@NullMarked
package org.cactusseam.logic.retry;

import org.jspecify.annotations.NullMarked;
