/**
 * Values shared by all parts: names, configuration objects, result codes. No behaviour with side
 * effects.
 */
@NullMarked
package org.cactusseam.model;

import org.jspecify.annotations.NullMarked;
