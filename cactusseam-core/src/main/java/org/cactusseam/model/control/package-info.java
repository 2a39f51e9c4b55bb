/** Records of the control log and the values for membership and ownership that they contain. */
@NullMarked
package org.cactusseam.model.control;

import org.jspecify.annotations.NullMarked;
