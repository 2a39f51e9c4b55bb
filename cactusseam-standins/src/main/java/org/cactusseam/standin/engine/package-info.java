/** Stand-in for a model engine. */
@NullMarked
package org.cactusseam.standin.engine;

import org.jspecify.annotations.NullMarked;
