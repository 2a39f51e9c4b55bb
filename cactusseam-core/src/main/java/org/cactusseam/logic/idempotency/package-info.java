/** Claims for requests that must not run twice. */
@NullMarked
package org.cactusseam.logic.idempotency;

import org.jspecify.annotations.NullMarked;
