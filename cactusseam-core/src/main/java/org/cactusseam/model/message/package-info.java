/** Messages between entry daemons. */
@NullMarked
package org.cactusseam.model.message;

import org.jspecify.annotations.NullMarked;
