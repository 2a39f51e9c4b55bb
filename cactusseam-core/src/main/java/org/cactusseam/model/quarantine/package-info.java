/** Replicated state on requests that crash backend servers, as entry daemons exchange it. */
@NullMarked
package org.cactusseam.model.quarantine;

import org.jspecify.annotations.NullMarked;
