package org.cactusseam.model.gateway;

import java.time.Duration;

/**
 * Bounds of a roll-out, which hold over all VMs together.
 *
 * @param exposureShare largest share of a service's requests that a bad version may receive between
 *     the order and its deadline, from 0 to 1
 * @param exposureAllowance requests that a bad version may receive beyond that share
 * @param rollbackTime time after which a bad version must not receive requests any more, counted
 *     from the bad response that exceeds the tolerated number
 */
public record RolloutSettings(
    double exposureShare, double exposureAllowance, Duration rollbackTime) {}
