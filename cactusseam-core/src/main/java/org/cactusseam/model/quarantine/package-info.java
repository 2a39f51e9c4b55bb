/** Suspicions about requests that crash backend servers, as nodes exchange them. */
@NullMarked
package org.cactusseam.model.quarantine;

import org.jspecify.annotations.NullMarked;
