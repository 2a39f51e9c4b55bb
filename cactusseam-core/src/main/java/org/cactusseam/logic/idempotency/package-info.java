/**
 * Idempotency keys: claims in the log ensure that a request that is not repeatable is executed at
 * most once.
 */
@NullMarked
package org.cactusseam.logic.idempotency;

import org.jspecify.annotations.NullMarked;
