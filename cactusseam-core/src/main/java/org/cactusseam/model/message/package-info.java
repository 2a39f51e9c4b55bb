/** Messages between entry daemons and their JSON form. */
@NullMarked
package org.cactusseam.model.message;

import org.jspecify.annotations.NullMarked;
