/**
 * The gateway's input and output: callers, backend servers, peers, readiness and shutdown. What is
 * particular to one platform comes in through {@link org.cactusseam.edge.gateway.HeaderCodec} and
 * {@link org.cactusseam.edge.gateway.EngineClient}.
 */
@NullMarked
package org.cactusseam.edge.gateway;

import org.jspecify.annotations.NullMarked;
