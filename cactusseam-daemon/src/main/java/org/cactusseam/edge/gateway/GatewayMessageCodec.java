package org.cactusseam.edge.gateway;

import io.vavr.control.Try;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.edge.peer.PeerCodec;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.model.gateway.StoreRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Frames between gateways: four bytes of length and a MessagePack value. Written field by field,
 * because the mapper of the control protocol would be most of a gateway's start.
 */
final class GatewayMessageCodec {

  private static final int LOADS = 1;
  private static final int RECORDS_WANTED = 2;
  private static final int RELAYED = 3;
  private static final int RECEIVED = 4;
  private static final int DEPARTURE = 5;
  private static final int RECORDS_FOLLOW = 6;
  private static final int RECORD_OFFERED = 7;
  private static final int RECORD_FETCH = 8;

  private GatewayMessageCodec() {}

  static Buffer encode(GatewayMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case GatewayMessage.Loads loads -> write(packer, loads);
        case GatewayMessage.RecordsRequest wanted ->
            packer.packInt(RECORDS_WANTED).packString(wanted.node());
        case GatewayMessage.RecordsAccepted follow ->
            packer.packInt(RECORDS_FOLLOW).packString(follow.node());
        case GatewayMessage.RecordOffer offered ->
            packer
                .packInt(RECORD_OFFERED)
                .packString(offered.node())
                .packString(offered.topic())
                .packString(offered.key())
                .packLong(offered.offset());
        case GatewayMessage.RecordFetch fetch ->
            packer
                .packInt(RECORD_FETCH)
                .packString(fetch.node())
                .packString(fetch.topic())
                .packString(fetch.key());
        case GatewayMessage.RecordUpdate relayed -> write(packer, relayed.record());
        case GatewayMessage.LoadsAck received -> packer.packInt(RECEIVED);
        case GatewayMessage.ServerDeparture departure ->
            packer
                .packInt(DEPARTURE)
                .packString(departure.serverId())
                .packLong(departure.bornMillis());
      }
      byte[] value = packer.toByteArray();
      return Buffer.buffer(PeerCodec.LENGTH_BYTES + value.length)
          .appendInt(value.length)
          .appendBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException("a message in memory cannot be written", e);
    }
  }

  private static void write(MessageBufferPacker packer, GatewayMessage.Loads loads)
      throws IOException {
    packer.packInt(LOADS).packString(loads.node()).packInt(loads.loads().size());
    for (Map.Entry<String, ServerLoads.ServerLoad> load : loads.loads().entrySet()) {
      packer
          .packString(load.getKey())
          .packInt(load.getValue().runs())
          .packInt(load.getValue().tokens())
          .packInt(load.getValue().pendingPrefillTokens());
    }
  }

  private static void write(MessageBufferPacker packer, StoreRecord record) throws IOException {
    packer
        .packInt(RELAYED)
        .packString(record.topic())
        .packString(record.key())
        .packLong(record.offset())
        .packBoolean(record.value().isPresent());
    if (record.value().isPresent()) {
      byte[] value = record.value().get();
      packer.packBinaryHeader(value.length).writePayload(value);
    }
  }

  static Try<GatewayMessage> decode(byte[] value) {
    return Try.of(
        () -> {
          try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
            return read(unpacker, value.length);
          }
        });
  }

  private static GatewayMessage read(MessageUnpacker unpacker, int length) throws IOException {
    int kind = unpacker.unpackInt();
    return switch (kind) {
      case LOADS -> readLoads(unpacker);
      case RECORDS_WANTED -> new GatewayMessage.RecordsRequest(unpacker.unpackString());
      case RECORDS_FOLLOW -> new GatewayMessage.RecordsAccepted(unpacker.unpackString());
      case RECORD_OFFERED ->
          new GatewayMessage.RecordOffer(
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackLong());
      case RECORD_FETCH ->
          new GatewayMessage.RecordFetch(
              unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
      case RELAYED -> new GatewayMessage.RecordUpdate(readRecord(unpacker, length));
      case RECEIVED -> new GatewayMessage.LoadsAck();
      case DEPARTURE ->
          new GatewayMessage.ServerDeparture(unpacker.unpackString(), unpacker.unpackLong());
      default -> throw new IOException("unknown kind of message " + kind);
    };
  }

  private static GatewayMessage readLoads(MessageUnpacker unpacker) throws IOException {
    String node = unpacker.unpackString();
    int number = unpacker.unpackInt();
    Map<String, ServerLoads.ServerLoad> loads = new HashMap<>();
    for (int index = 0; index < number; index++) {
      loads.put(
          unpacker.unpackString(),
          new ServerLoads.ServerLoad(
              unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt()));
    }
    return new GatewayMessage.Loads(node, loads);
  }

  private static StoreRecord readRecord(MessageUnpacker unpacker, int frameLength)
      throws IOException {
    String topic = unpacker.unpackString();
    String key = unpacker.unpackString();
    long offset = unpacker.unpackLong();
    if (!unpacker.unpackBoolean()) {
      return new StoreRecord(topic, key, offset, Optional.empty());
    }
    int length = unpacker.unpackBinaryHeader();
    if (length > frameLength) {
      throw new IOException("a value of " + length + " bytes in a frame of " + frameLength);
    }
    return new StoreRecord(topic, key, offset, Optional.of(unpacker.readPayload(length)));
  }
}
