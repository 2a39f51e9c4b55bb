/** Command-line interface {@code cactusseam}, with a class for each subcommand. */
@NullMarked
package org.cactusseam.cli;

import org.jspecify.annotations.NullMarked;
