package org.cactusseam.model.control;

import java.util.OptionalLong;

/**
 * What a run states about itself in the answer to a ping.
 *
 * @param run answering run
 * @param nextOffset offset of the next control record that it will apply
 * @param logAgeMillis time since the sending of the newest read that showed it the end of the log,
 *     directly or through a peer; empty if there was none
 * @param settled whether it has taken over every shard that it owns, so that the leases and permits
 *     of earlier owners are over
 * @param leaving whether it is shutting down and has handed its shards over
 */
public record PeerStatus(
    RunId run, long nextOffset, OptionalLong logAgeMillis, boolean settled, boolean leaving) {}
