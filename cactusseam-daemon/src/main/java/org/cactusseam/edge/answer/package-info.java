/** JSON format of the responses to operators' commands. */
@NullMarked
package org.cactusseam.edge.answer;

import org.jspecify.annotations.NullMarked;
