/** Command line of the product. */
@NullMarked
package org.cactusseam.cli;

import org.jspecify.annotations.NullMarked;
