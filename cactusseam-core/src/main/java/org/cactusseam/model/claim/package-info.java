/**
 * Records of the stream {@code claims}, and the values that entry daemons exchange about claims.
 */
@NullMarked
package org.cactusseam.model.claim;

import org.jspecify.annotations.NullMarked;
