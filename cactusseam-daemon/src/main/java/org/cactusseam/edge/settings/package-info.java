/** Settings of an entry daemon: reading, checking and the values that result. */
@NullMarked
package org.cactusseam.edge.settings;

import org.jspecify.annotations.NullMarked;
