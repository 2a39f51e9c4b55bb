package org.cactusseam.edge.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Try;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Objects;
import org.cactusseam.model.message.PeerMessage;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Frames of the connections between entry daemons: four bytes of length and a MessagePack value.
 */
public final class PeerCodec {

  /** Bound on the length of a frame, in bytes; a hostile length costs at most this much memory. */
  public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

  /** Length of the length field, in bytes. */
  public static final int LENGTH_BYTES = 4;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory()).registerModule(new Jdk8Module());

  private PeerCodec() {}

  /**
   * Writes a frame.
   *
   * @param message message
   * @return length and value
   */
  public static Buffer encode(PeerMessage message) {
    try {
      byte[] value = MAPPER.writeValueAsBytes(message);
      return Buffer.buffer(LENGTH_BYTES + value.length).appendInt(value.length).appendBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write " + message.getClass(), e);
    }
  }

  /**
   * Reads the value of a frame.
   *
   * @param value bytes after the length field
   * @return the message, or the failure if the bytes are none
   */
  public static Try<PeerMessage> decode(byte[] value) {
    return Try.of(
        () -> {
          requireComplete(value);
          return Objects.requireNonNull(MAPPER.readValue(value, PeerMessage.class));
        });
  }

  /**
   * Rejects values whose inner lengths exceed the frame. The mapper allocates what a length field
   * says before it reads, so a frame of six bytes could otherwise claim two gigabytes.
   */
  private static void requireComplete(byte[] value) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      unpacker.skipValue();
    }
  }
}
