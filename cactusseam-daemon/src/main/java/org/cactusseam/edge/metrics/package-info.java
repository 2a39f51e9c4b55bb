/** Measurements for client accounts and priority classes, and their text for the scraper. */
@NullMarked
package org.cactusseam.edge.metrics;

import org.jspecify.annotations.NullMarked;
