/** Decisions of the gateway: routes, servers, placement, limits and continuation of runs. */
@NullMarked
package org.cactusseam.logic.gateway;

import org.jspecify.annotations.NullMarked;
