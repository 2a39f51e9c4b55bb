package org.cactusseam.edge.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.BeanDescription;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationConfig;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.BeanPropertyWriter;
import com.fasterxml.jackson.databind.ser.BeanSerializerModifier;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Try;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.message.PeerMessage;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes the frames of the connections between entry daemons. A frame is a length
 * field of four bytes and a MessagePack value.
 */
public final class PeerCodec {

  /**
   * Maximum length of the value of a frame, in bytes. It bounds the memory that a hostile length
   * field can make a daemon allocate.
   */
  public static final int MAXIMUM_FRAME_BYTES = 1 << 20;

  /** Length of the length field, in bytes. */
  public static final int LENGTH_BYTES = 4;

  /** Writes records as arrays, because field names would make up most of a message. */
  private static final ObjectMapper MAPPER =
      new ObjectMapper(new MessagePackFactory())
          .registerModule(new Jdk8Module())
          .registerModule(new SimpleModule().setSerializerModifier(new OmittedVersions()))
          .setAnnotationIntrospector(new RecordsAsArrays())
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);

  /** Writes every record as an array, except records with a {@link JsonValue}, such as names. */
  private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1L;
    private static final JsonFormat.Value ARRAY = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);

    @Override
    public JsonFormat.@Nullable Value findFormat(Annotated annotated) {
      Class<?> type = annotated.getRawType();
      boolean isArray =
          annotated instanceof AnnotatedClass && type.isRecord() && !hasJsonValue(type);
      return isArray ? ARRAY : super.findFormat(annotated);
    }

    private static boolean hasJsonValue(Class<?> type) {
      return Arrays.stream(type.getDeclaredFields())
          .anyMatch(field -> field.isAnnotationPresent(JsonValue.class));
    }
  }

  /**
   * Omits the last element of a backend server without a version, so that its array equals the one
   * of daemons that do not know the attribute.
   */
  private static final class OmittedVersions extends BeanSerializerModifier {

    private static final long serialVersionUID = 1L;

    @Override
    public List<BeanPropertyWriter> changeProperties(
        SerializationConfig config, BeanDescription type, List<BeanPropertyWriter> properties) {
      return type.getBeanClass() == BackendServer.class
          ? properties.stream()
              .map(each -> each.getName().equals("version") ? new VersionWriter(each) : each)
              .toList()
          : properties;
    }
  }

  private static final class VersionWriter extends BeanPropertyWriter {

    private static final long serialVersionUID = 1L;

    VersionWriter(BeanPropertyWriter base) {
      super(base);
    }

    @Override
    public void serializeAsElement(
        Object bean, JsonGenerator generator, SerializerProvider provider) throws Exception {
      if (!((BackendServer) bean).version().isEmpty()) {
        super.serializeAsElement(bean, generator, provider);
      }
    }
  }

  private PeerCodec() {}

  /**
   * Encodes a message.
   *
   * @param message message to encode
   * @return frame with length field and value
   */
  public static Buffer encode(PeerMessage message) {
    try {
      byte[] value = MAPPER.writeValueAsBytes(message);
      return Buffer.buffer(LENGTH_BYTES + value.length).appendInt(value.length).appendBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode peer message of " + message.getClass(), e);
    }
  }

  /**
   * Decodes the value of a frame.
   *
   * @param value bytes after the length field
   * @return the message, or a failure if the bytes are not a valid message
   */
  public static Try<PeerMessage> decode(byte[] value) {
    return Try.of(
        () -> {
          requireLengthsWithinFrame(value);
          return Objects.requireNonNull(MAPPER.readValue(value, PeerMessage.class));
        });
  }

  /**
   * Rejects values whose inner lengths exceed the frame. The mapper allocates memory according to a
   * length field before it reads the content, so a frame of six bytes could otherwise make it
   * allocate two gigabytes.
   */
  private static void requireLengthsWithinFrame(byte[] value) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      unpacker.skipValue();
    }
  }
}
