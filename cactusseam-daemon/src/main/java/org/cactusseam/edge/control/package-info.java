/**
 * Control plane of the entry daemon: control log, membership, admission to owned shards, claims and
 * operators' commands. All state is confined to one thread.
 */
@NullMarked
package org.cactusseam.edge.control;

import org.jspecify.annotations.NullMarked;
