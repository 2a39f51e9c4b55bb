/** Detection and isolation of requests that crash backend servers. */
@NullMarked
package org.cactusseam.logic.quarantine;

import org.jspecify.annotations.NullMarked;
