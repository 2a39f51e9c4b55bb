package org.cactusseam.model.control;

import java.util.OptionalLong;

/**
 * Status that a run reports about itself to its peers.
 *
 * @param run reporting run
 * @param nextOffset offset of the next control record that it will apply
 * @param logAgeMillis time in milliseconds since the newest read that reached the end of the log
 *     was sent, by this run or by a peer that relayed it; empty if there was none
 * @param settled whether it has taken over every shard that it owns, so that the leases and permits
 *     of earlier owners have expired
 * @param leaving whether it is shutting down and no longer grants permits
 */
public record PeerStatus(
    RunId run, long nextOffset, OptionalLong logAgeMillis, boolean settled, boolean leaving) {}
