package org.cactusseam.edge.peer;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.util.function.Consumer;

/** Cuts the bytes of a connection into frames. After a fault it ignores all further bytes. */
public final class FrameReader implements Handler<Buffer> {

  private final RecordParser parser = RecordParser.newFixed(PeerCodec.LENGTH_BYTES);
  private final Consumer<byte[]> frames;
  private final Consumer<String> faults;
  private boolean readsLength = true;
  private boolean failed;

  /**
   * Creates a reader.
   *
   * @param frames takes the value of each frame
   * @param faults takes the description of the first fault
   */
  public FrameReader(Consumer<byte[]> frames, Consumer<String> faults) {
    this.frames = frames;
    this.faults = faults;
    parser.handler(this::take);
  }

  @Override
  public void handle(Buffer bytes) {
    if (!failed) {
      parser.handle(bytes);
    }
  }

  private void take(Buffer part) {
    if (failed) {
      return;
    }
    if (!readsLength) {
      readsLength = true;
      parser.fixedSizeMode(PeerCodec.LENGTH_BYTES);
      frames.accept(part.getBytes());
      return;
    }
    int length = part.getInt(0);
    if (length <= 0 || length > PeerCodec.MAXIMUM_FRAME_BYTES) {
      failed = true;
      faults.accept("frame of " + length + " bytes");
      return;
    }
    readsLength = false;
    parser.fixedSizeMode(length);
  }
}
