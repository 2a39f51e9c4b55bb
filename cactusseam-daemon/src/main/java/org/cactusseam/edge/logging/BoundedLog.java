package org.cactusseam.edge.logging;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Log handler that never blocks the caller: lines go to a bounded queue, which a dedicated thread
 * writes to standard output. When the queue is full, lines are dropped and counted, and the count
 * is logged as soon as there is room. Uses {@code java.util.logging}, which loads few classes and
 * therefore starts fast.
 */
public final class BoundedLog extends Handler {

  /** Maximum number of queued lines, of about 200 bytes each, while standard output is blocked. */
  private static final int MAX_QUEUED_LINES = 4_096;

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int NANOS_PER_MILLI = 1_000_000;

  /**
   * Logger of the network library, which is switched off: lost connections are reported to their
   * users, which log them with the request, and the library would log each one again.
   */
  private static final Logger LIBRARY_LOGGER = Logger.getLogger("io.vertx.core.net.impl");

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream output;

  private BoundedLog(OutputStream output) {
    this.output = output;
  }

  /** Directs the log output of the whole process to standard output. */
  public static void install() {
    System.setProperty("org.jboss.logging.provider", "jdk");
    System.setProperty(
        "vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    LogManager.getLogManager().reset();
    // Set after java.util.logging has been initialized, which therefore ignores it: the property
    // only
    // keeps the library from searching for a configuration next to its classes, which fails if they
    // are on the boot class path.
    System.setProperty("java.util.logging.config.file", "");
    BoundedLog handler = new BoundedLog(new FileOutputStream(FileDescriptor.out));
    Logger root = Logger.getLogger("");
    root.addHandler(handler);
    root.setLevel(Level.INFO);
    LIBRARY_LOGGER.setLevel(Level.OFF);
    Thread writer = new Thread(handler::writeLines, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void publish(LogRecord record) {
    if (!lines.offer(formatLine(record))) {
      dropped.incrementAndGet();
    }
  }

  /**
   * Formats a time as {@code Instant.toString} does, without {@code java.time.format}: a gateway
   * needs its 25 classes and 3 lambdas for nothing else, and would load them at each start.
   */
  static String formatTime(long epochMillis) {
    LocalDateTime time =
        LocalDateTime.ofEpochSecond(
            Math.floorDiv(epochMillis, MILLIS_PER_SECOND),
            (int) Math.floorMod(epochMillis, MILLIS_PER_SECOND) * NANOS_PER_MILLI,
            ZoneOffset.UTC);
    // LocalDateTime leaves out seconds of zero.
    return time + (time.getSecond() == 0 && time.getNano() == 0 ? ":00Z" : "Z");
  }

  private static String formatLine(LogRecord record) {
    StringBuilder line = new StringBuilder("time=").append(formatTime(record.getMillis()));
    line.append(" level=").append(record.getLevel().getName());
    Object request = MDC.get(StructuredLog.REQUEST);
    if (request != null) {
      line.append(" request=").append(request);
    }
    line.append(" event=").append(record.getMessage());
    if (record.getThrown() != null) {
      line.append(" thrown=\"").append(record.getThrown()).append('"');
    }
    return line.append('\n').toString();
  }

  private void writeLines() {
    try {
      while (true) {
        output.write(lines.take().getBytes(StandardCharsets.UTF_8));
        long droppedLines = dropped.getAndSet(0);
        if (droppedLines > 0) {
          lines.offer("level=WARNING event=log_lines_dropped number=" + droppedLines + "\n");
        }
      }
    } catch (IOException e) {
      // Standard output is closed; the process continues without a log.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void flush() {
    // The writer thread writes each line without buffering.
  }

  @Override
  public void close() {
    // Standard output stays open until the process exits.
  }
}
