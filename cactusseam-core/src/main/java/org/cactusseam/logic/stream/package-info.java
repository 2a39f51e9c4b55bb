/** Identities of generations, and the sequence of their tokens. */
@NullMarked
package org.cactusseam.logic.stream;

import org.jspecify.annotations.NullMarked;
