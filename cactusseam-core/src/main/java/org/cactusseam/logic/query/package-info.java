/**
 * The operators' language: commands, their text, their effect on the configuration, and answers.
 */
@NullMarked
package org.cactusseam.logic.query;

import org.jspecify.annotations.NullMarked;
