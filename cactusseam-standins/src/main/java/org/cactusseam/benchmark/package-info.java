/** Benchmarks of the daemon with separate processes. They are started by hand, not by the tests. */
package org.cactusseam.benchmark;
