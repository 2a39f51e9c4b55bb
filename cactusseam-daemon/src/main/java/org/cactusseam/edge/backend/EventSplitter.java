package org.cactusseam.edge.backend;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/**
 * Cuts the bytes of an engine's stream into events, which end with an empty line. Nearly every read
 * holds whole events, and those are taken from it directly; the record parser of the HTTP library
 * copies each event three times.
 */
final class EventSplitter implements Handler<Buffer> {

  private static final byte LINE_END = '\n';

  private final int maximumBytes;
  private final Consumer<String> receiver;
  private final Runnable tooLong;
  private Buffer rest = Buffer.buffer();
  private boolean closed;

  /**
   * Creates a splitter.
   *
   * @param maximumBytes greatest length of an event
   * @param receiver gets the lines of each event, without the empty line that ends it
   * @param tooLong called once for the first event that is longer; nothing is read after it
   */
  EventSplitter(int maximumBytes, Consumer<String> receiver, Runnable tooLong) {
    this.maximumBytes = maximumBytes;
    this.receiver = receiver;
    this.tooLong = tooLong;
  }

  @Override
  public void handle(Buffer read) {
    if (closed) {
      return;
    }
    Buffer bytes = rest.length() == 0 ? read : rest.appendBuffer(read);
    // The first line end of a separator may be the last byte of what was searched before.
    int searched = bytes == read ? 1 : Math.max(1, rest.length() - read.length());
    int start = 0;
    for (int at = searched; at < bytes.length(); at++) {
      if (bytes.getByte(at) == LINE_END && at > start && bytes.getByte(at - 1) == LINE_END) {
        if (isTooLong(at - 1 - start)) {
          return;
        }
        receiver.accept(bytes.getString(start, at - 1));
        start = at + 1;
      }
    }
    if (!isTooLong(bytes.length() - start)) {
      rest = start == bytes.length() ? Buffer.buffer() : bytes.getBuffer(start, bytes.length());
    }
  }

  private boolean isTooLong(int length) {
    if (length <= maximumBytes) {
      return false;
    }
    closed = true;
    rest = Buffer.buffer();
    tooLong.run();
    return true;
  }
}
