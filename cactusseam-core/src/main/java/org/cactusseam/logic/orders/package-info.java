/**
 * Execution of orders to backend servers. Each order is sent by the owner of the server's shard.
 */
@NullMarked
package org.cactusseam.logic.orders;

import org.jspecify.annotations.NullMarked;
