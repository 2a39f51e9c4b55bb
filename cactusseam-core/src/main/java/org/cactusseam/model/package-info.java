/**
 * Values shared by all modules: names, configuration objects, result codes. They have no side
 * effects.
 */
@NullMarked
package org.cactusseam.model;

import org.jspecify.annotations.NullMarked;
