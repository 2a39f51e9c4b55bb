/** HTTP server for operators. */
@NullMarked
package org.cactusseam.edge.operator;

import org.jspecify.annotations.NullMarked;
