/**
 * Messages and values of admission control, exchanged between entry daemons and the owners of
 * admission shards.
 */
@NullMarked
package org.cactusseam.model.admission;

import org.jspecify.annotations.NullMarked;
