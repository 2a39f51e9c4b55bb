/**
 * Benchmarks of the entry daemon with separate processes. They are run manually, not as part of the
 * tests.
 */
package org.cactusseam.benchmark;
