/** Admission of requests to the backend servers of a shard. */
@NullMarked
package org.cactusseam.logic.admission;

import org.jspecify.annotations.NullMarked;
