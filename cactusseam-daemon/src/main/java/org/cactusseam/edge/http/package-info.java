/** HTTP clients that accept only valid and complete responses. */
@NullMarked
package org.cactusseam.edge.http;

import org.jspecify.annotations.NullMarked;
