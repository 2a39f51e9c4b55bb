/** Values exchanged between the requesters of admission and the owner of an admission shard. */
@NullMarked
package org.cactusseam.model.admission;

import org.jspecify.annotations.NullMarked;
