/**
 * Data model of the gateway: configuration by operators, descriptions and reports of servers, and
 * data of single requests.
 */
@NullMarked
package org.cactusseam.model.gateway;

import org.jspecify.annotations.NullMarked;
