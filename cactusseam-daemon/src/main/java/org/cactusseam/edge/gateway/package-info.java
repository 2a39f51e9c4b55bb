/**
 * Network I/O of the gateway: callers, backend servers, peers, readiness and shutdown.
 * Platform-specific protocols are implemented by adapters of {@link
 * org.cactusseam.edge.gateway.HeaderCodec} and {@link org.cactusseam.edge.gateway.EngineClient}.
 */
@NullMarked
package org.cactusseam.edge.gateway;

import org.jspecify.annotations.NullMarked;
