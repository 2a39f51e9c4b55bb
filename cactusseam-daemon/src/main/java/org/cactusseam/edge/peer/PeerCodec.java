package org.cactusseam.edge.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Try;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Arrays;
import java.util.Objects;
import org.cactusseam.model.message.PeerMessage;
import org.jspecify.annotations.Nullable;
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

  /** Records are written as arrays: names of fields would be most of a message. */
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .setAnnotationIntrospector(new RecordsAsArrays())
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

  /** Names stay plain texts; every other record becomes an array. */
  private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1L;
    private static final JsonFormat.Value ARRAY = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);

    @Override
    public JsonFormat.@Nullable Value findFormat(Annotated annotated) {
      Class<?> type = annotated.getRawType();
      boolean isArray =
          annotated instanceof AnnotatedClass && type.isRecord() && !isPlainText(type);
      return isArray ? ARRAY : super.findFormat(annotated);
    }

    private static boolean isPlainText(Class<?> type) {
      return Arrays.stream(type.getDeclaredFields())
          .anyMatch(field -> field.isAnnotationPresent(JsonValue.class));
    }
  }

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
