/** Orders to backend servers, sent once by the owner of the server's shard. */
@NullMarked
package org.cactusseam.logic.orders;

import org.jspecify.annotations.NullMarked;
