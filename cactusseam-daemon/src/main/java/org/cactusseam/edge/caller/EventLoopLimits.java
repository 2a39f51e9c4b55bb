package org.cactusseam.edge.caller;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.cactusseam.edge.client.ClientMemory;
import org.cactusseam.edge.settings.Settings;

/**
 * Part of the limits of the process that one event loop for callers has.
 *
 * @param maxHeadBytes longest head that the HTTP decoder accepts
 * @param memoryBytes memory that is held for callers
 * @param maximumConnections connections that are open at the same time
 */
record EventLoopLimits(int maxHeadBytes, long memoryBytes, int maximumConnections) {

  /** Maximum length of a request line. */
  static final int REQUEST_LINE_BYTES = 4_096;

  /** Smaller heads are also counted up to this length, as at the gateway. */
  private static final int MIN_HEAD_BYTES = 32 << 10;

  /** A request has a connection of the caller and one to a backend server. */
  private static final int DESCRIPTORS_PER_CALLER = 2;

  private static final int PERCENT = 100;

  /** Returns the part of one of several event loops of this process. */
  static EventLoopLimits ofProcess(Settings.Limits limits, int eventLoops) {
    long descriptors =
        ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
            ? unix.getMaxFileDescriptorCount()
            : Integer.MAX_VALUE;
    return of(limits, eventLoops, Runtime.getRuntime().maxMemory(), descriptors);
  }

  static EventLoopLimits of(
      Settings.Limits limits, int eventLoops, long heapBytes, long descriptors) {
    int maxHeadBytes = Math.max(MIN_HEAD_BYTES, limits.headerBytes() + REQUEST_LINE_BYTES);
    long memory = heapBytes / PERCENT * limits.clientMemoryPercent() / eventLoops;
    long connections =
        (descriptors - limits.reservedDescriptors()) / DESCRIPTORS_PER_CALLER / eventLoops;
    return new EventLoopLimits(
        maxHeadBytes,
        Math.max(memory, ClientMemory.minimumBytes(limits.bodyBytes(), maxHeadBytes)),
        Math.clamp(connections, 1, Integer.MAX_VALUE));
  }
}
