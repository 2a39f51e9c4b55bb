package org.cactusseam.edge.logging;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
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
 * Log output that never blocks: lines go to a bounded queue, and a thread of its own writes them to
 * standard output. Lines that find the queue full are counted, and the count is written as soon as
 * there is room. It uses the runtime's own logging, which starts with few classes.
 */
public final class BoundedLog extends Handler {

  /** Lines that wait for a slow reader of standard output; some 200 bytes each. */
  private static final int QUEUE_LINES = 4_096;

  /**
   * Lost connections are reported to their users, which log them with the request; the library
   * would log each one again.
   */
  private static final Logger LIBRARY_LOGGER = Logger.getLogger("io.vertx.core.net.impl");

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream output;

  private BoundedLog(OutputStream output) {
    this.output = output;
  }

  /** Sends the log of the whole process to standard output. */
  public static void install() {
    System.setProperty("org.jboss.logging.provider", "jdk");
    System.setProperty(
        "vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.JULLogDelegateFactory");
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    LogManager.getLogManager().reset();
    // Set after the runtime's own logging has started: it only keeps the library from looking for
    // settings beside its classes, which fails where they are on the boot class path.
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
    if (!lines.offer(line(record))) {
      dropped.incrementAndGet();
    }
  }

  private static String line(LogRecord record) {
    StringBuilder line =
        new StringBuilder("time=").append(Instant.ofEpochMilli(record.getMillis()));
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
        long missing = dropped.getAndSet(0);
        if (missing > 0) {
          lines.offer("level=WARNING event=log_lines_dropped number=" + missing + "\n");
        }
      }
    } catch (IOException e) {
      // Standard output is closed; requests go on without a log.
      return;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void flush() {
    // The writer writes each line by itself.
  }

  @Override
  public void close() {
    // Standard output stays open until the process ends.
  }
}
