package org.cactusseam.model.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What a model engine reports of itself, some hundred milliseconds old.
 *
 * @param leavesIn time until it is gone, if it knows
 * @param leaving whether it takes no further requests
 */
public record EngineReport(Optional<Duration> leavesIn, boolean leaving) {}
