/** Reads and validates the settings file of an entry daemon. */
@NullMarked
package org.cactusseam.edge.settings;

import org.jspecify.annotations.NullMarked;
