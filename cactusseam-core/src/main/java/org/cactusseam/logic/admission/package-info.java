/**
 * Admission control: queueing of requests and their placement on the backend servers of a shard.
 */
@NullMarked
package org.cactusseam.logic.admission;

import org.jspecify.annotations.NullMarked;
