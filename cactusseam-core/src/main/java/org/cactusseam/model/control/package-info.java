/** Records of the ordered control log and the membership values that they carry. */
@NullMarked
package org.cactusseam.model.control;

import org.jspecify.annotations.NullMarked;
