/** Values of the gateway: what an operator configured, what servers tell, what a call needs. */
@NullMarked
package org.cactusseam.model.gateway;

import org.jspecify.annotations.NullMarked;
