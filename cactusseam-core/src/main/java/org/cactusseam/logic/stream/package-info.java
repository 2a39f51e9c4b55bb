/** Identity and order of the tokens of a generation. */
@NullMarked
package org.cactusseam.logic.stream;

import org.jspecify.annotations.NullMarked;
