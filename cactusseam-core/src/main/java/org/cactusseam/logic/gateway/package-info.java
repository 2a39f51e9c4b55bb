/**
 * Decision logic of the gateway: routing, server selection, load tracking, rate limits, and
 * continuation of runs at other servers.
 */
@NullMarked
package org.cactusseam.logic.gateway;

import org.jspecify.annotations.NullMarked;
