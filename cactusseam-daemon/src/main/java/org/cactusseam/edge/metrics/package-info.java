/** Request metrics by client account and priority class, in the Prometheus text format. */
@NullMarked
package org.cactusseam.edge.metrics;

import org.jspecify.annotations.NullMarked;
