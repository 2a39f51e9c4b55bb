package org.cactusseam.edge.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/**
 * Splits the byte stream of a peer connection into frames. After an invalid frame length it ignores
 * all further bytes.
 */
public final class FrameReader implements Handler<Buffer> {

  private final RecordParser parser = RecordParser.newFixed(PeerCodec.LENGTH_BYTES);
  private final Consumer<byte[]> frameHandler;
  private final Consumer<String> faultHandler;
  private boolean expectsLength = true;
  private boolean failed;
  private long pendingBytes;

  /**
   * Creates a reader.
   *
   * @param frameHandler called with the value of each frame, without the length field
   * @param faultHandler called with an explanation when a frame length is invalid, at most once
   */
  public FrameReader(Consumer<byte[]> frameHandler, Consumer<String> faultHandler) {
    this.frameHandler = frameHandler;
    this.faultHandler = faultHandler;
    parser.handler(this::handlePart);
  }

  @Override
  public void handle(Buffer bytes) {
    if (!failed) {
      pendingBytes += bytes.length();
      parser.handle(bytes);
    }
  }

  /**
   * Returns the bytes that have arrived of a frame that is not complete.
   *
   * @return bytes that the reader holds
   */
  public long pendingBytes() {
    return pendingBytes;
  }

  private void handlePart(Buffer part) {
    pendingBytes -= part.length();
    if (failed) {
      return;
    }
    if (!expectsLength) {
      expectsLength = true;
      parser.fixedSizeMode(PeerCodec.LENGTH_BYTES);
      frameHandler.accept(part.getBytes());
      return;
    }
    int length = part.getInt(0);
    if (length <= 0 || length > PeerCodec.MAXIMUM_FRAME_BYTES) {
      failed = true;
      faultHandler.accept("invalid frame length of " + length + " bytes");
      return;
    }
    expectsLength = false;
    parser.fixedSizeMode(length);
  }
}
