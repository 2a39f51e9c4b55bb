/**
 * Operator command language: parsing and printing of commands, their translation into control
 * records, and the results of queries.
 */
@NullMarked
package org.cactusseam.logic.query;

import org.jspecify.annotations.NullMarked;
