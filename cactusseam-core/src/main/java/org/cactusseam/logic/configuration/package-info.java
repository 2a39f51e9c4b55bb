/** Check of a configuration by operators before it is sent. */
@NullMarked
package org.cactusseam.logic.configuration;

import org.jspecify.annotations.NullMarked;
