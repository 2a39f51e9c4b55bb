package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What a model engine reports of itself, some hundred milliseconds old.
 *
 * @param bornMillis start of its process, in milliseconds since the epoch; 0 if it does not say
 * @param leavesIn time until it is gone, if it knows
 * @param leaving whether it takes no further requests
 * @param waiting waiting requests
 * @param running running requests
 * @param memoryInUse tokens in memory that cannot yield
 */
public record EngineReport(
    long bornMillis,
    Optional<Duration> leavesIn,
    boolean leaving,
    int waiting,
    int running,
    int memoryInUse) {}
