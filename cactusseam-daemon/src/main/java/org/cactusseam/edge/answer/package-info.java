/** Answers to operators' commands as they travel over HTTP. */
@NullMarked
package org.cactusseam.edge.answer;

import org.jspecify.annotations.NullMarked;
