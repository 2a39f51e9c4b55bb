/** HTTP clients for backend servers. */
@NullMarked
package org.cactusseam.edge.backend;

import org.jspecify.annotations.NullMarked;
