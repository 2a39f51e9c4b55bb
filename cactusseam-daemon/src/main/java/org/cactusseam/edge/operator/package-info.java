/** HTTP interface towards operators. */
@NullMarked
package org.cactusseam.edge.operator;

import org.jspecify.annotations.NullMarked;
