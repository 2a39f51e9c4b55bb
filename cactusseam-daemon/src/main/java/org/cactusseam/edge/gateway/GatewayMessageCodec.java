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
import org.cactusseam.logic.gateway.ServerPaces;
import org.cactusseam.model.gateway.ServerPace;
import org.cactusseam.model.gateway.StorePosition;
import org.cactusseam.model.gateway.StoreRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the frames between gateways: a length of four bytes and a MessagePack value.
 * Fields are written one by one, because the object mapper of the control protocol would account
 * for most of a gateway's startup time.
 */
final class GatewayMessageCodec {

  private static final int LOADS = 1;
  private static final int RECORDS_REQUEST = 2;
  private static final int RECORD_UPDATE = 3;
  private static final int LOADS_ACK = 4;
  private static final int SERVER_DEPARTURE = 5;
  private static final int RECORDS_ACCEPTED = 6;
  private static final int RECORD_OFFER = 7;
  private static final int RECORD_FETCH = 8;
  private static final int QUARANTINE_UPDATE = 9;
  private static final int ROLLOUT_EVIDENCE = 10;
  private static final int ROLLOUT_HOLD = 11;
  private static final int ROLLOUT_UPDATE = 12;

  private GatewayMessageCodec() {}

  static Buffer encode(GatewayMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      switch (message) {
        case GatewayMessage.Loads loads -> write(packer, loads);
        case GatewayMessage.RecordsRequest request ->
            packer.packInt(RECORDS_REQUEST).packString(request.node());
        case GatewayMessage.RecordsAccepted accepted ->
            packer.packInt(RECORDS_ACCEPTED).packString(accepted.node());
        case GatewayMessage.RecordOffer offer -> {
          packer
              .packInt(RECORD_OFFER)
              .packString(offer.node())
              .packString(offer.topic())
              .packString(offer.key())
              .packLong(offer.position().offset());
          writeEra(packer, offer.position());
        }
        case GatewayMessage.RecordFetch fetch ->
            packer
                .packInt(RECORD_FETCH)
                .packString(fetch.node())
                .packString(fetch.topic())
                .packString(fetch.key());
        case GatewayMessage.RecordUpdate update -> write(packer, update.record());
        case GatewayMessage.LoadsAck ack -> packer.packInt(LOADS_ACK);
        case GatewayMessage.QuarantineUpdate update ->
            SuspicionsCodec.write(
                packer.packInt(QUARANTINE_UPDATE).packString(update.node()), update.suspicions());
        case GatewayMessage.RolloutEvidence evidence ->
            RolloutReportCodec.write(packer.packInt(ROLLOUT_EVIDENCE), evidence.report());
        case GatewayMessage.RolloutHold hold ->
            packer
                .packInt(ROLLOUT_HOLD)
                .packString(hold.service())
                .packLong(hold.orderId())
                .packString(hold.reason());
        case GatewayMessage.RolloutUpdate update ->
            RolloutReportCodec.write(packer.packInt(ROLLOUT_UPDATE), update.state());
        case GatewayMessage.ServerDeparture departure -> {
          packer
              .packInt(SERVER_DEPARTURE)
              .packString(departure.serverId())
              .packLong(departure.startedAtMillis());
          // Gateways of earlier versions take it for a report.
          if (departure.isStated()) {
            packer.packBoolean(true);
          }
        }
      }
      byte[] value = packer.toByteArray();
      return Buffer.buffer(PeerCodec.LENGTH_BYTES + value.length)
          .appendInt(value.length)
          .appendBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException("failed to encode a gateway message", e);
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
    // Gateways of earlier versions ignore what follows the loads.
    if (!loads.paces().isEmpty()) {
      packer.packInt(loads.paces().size());
      for (Map.Entry<String, ServerPaces.AgedPace> pace : loads.paces().entrySet()) {
        packer
            .packString(pace.getKey())
            .packInt(pace.getValue().pace().percent())
            .packInt(pace.getValue().ageMillis());
      }
    }
  }

  private static void write(MessageBufferPacker packer, StoreRecord record) throws IOException {
    packer
        .packInt(RECORD_UPDATE)
        .packString(record.topic())
        .packString(record.key())
        .packLong(record.position().offset())
        .packBoolean(record.value().isPresent());
    if (record.value().isPresent()) {
      byte[] value = record.value().get();
      packer.packBinaryHeader(value.length).writePayload(value);
    }
    writeEra(packer, record.position());
  }

  /** Writes the era last, because gateways of earlier versions ignore what follows the offset. */
  private static void writeEra(MessageBufferPacker packer, StorePosition position)
      throws IOException {
    if (position.era() > 0) {
      packer.packLong(position.era());
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
    int type = unpacker.unpackInt();
    return switch (type) {
      case LOADS -> readLoads(unpacker);
      case RECORDS_REQUEST -> new GatewayMessage.RecordsRequest(unpacker.unpackString());
      case RECORDS_ACCEPTED -> new GatewayMessage.RecordsAccepted(unpacker.unpackString());
      case RECORD_OFFER ->
          new GatewayMessage.RecordOffer(
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackString(),
              readPosition(unpacker.unpackLong(), unpacker));
      case RECORD_FETCH ->
          new GatewayMessage.RecordFetch(
              unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackString());
      case RECORD_UPDATE -> new GatewayMessage.RecordUpdate(readRecord(unpacker, length));
      case LOADS_ACK -> new GatewayMessage.LoadsAck();
      case QUARANTINE_UPDATE ->
          new GatewayMessage.QuarantineUpdate(
              unpacker.unpackString(), SuspicionsCodec.read(unpacker));
      case SERVER_DEPARTURE ->
          new GatewayMessage.ServerDeparture(
              unpacker.unpackString(),
              unpacker.unpackLong(),
              unpacker.hasNext() && unpacker.unpackBoolean());
      case ROLLOUT_EVIDENCE ->
          new GatewayMessage.RolloutEvidence(RolloutReportCodec.read(unpacker));
      case ROLLOUT_HOLD ->
          new GatewayMessage.RolloutHold(
              unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackString());
      case ROLLOUT_UPDATE ->
          new GatewayMessage.RolloutUpdate(RolloutReportCodec.readState(unpacker));
      default -> throw new IOException("unknown gateway message type " + type);
    };
  }

  private static GatewayMessage readLoads(MessageUnpacker unpacker) throws IOException {
    String node = unpacker.unpackString();
    int size = unpacker.unpackInt();
    Map<String, ServerLoads.ServerLoad> loads = new HashMap<>();
    for (int index = 0; index < size; index++) {
      loads.put(
          unpacker.unpackString(),
          new ServerLoads.ServerLoad(
              unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt()));
    }
    return new GatewayMessage.Loads(node, loads, readPaces(unpacker));
  }

  private static Map<String, ServerPaces.AgedPace> readPaces(MessageUnpacker unpacker)
      throws IOException {
    Map<String, ServerPaces.AgedPace> paces = new HashMap<>();
    int size = unpacker.hasNext() ? unpacker.unpackInt() : 0;
    for (int index = 0; index < size; index++) {
      paces.put(
          unpacker.unpackString(),
          new ServerPaces.AgedPace(new ServerPace(unpacker.unpackInt()), unpacker.unpackInt()));
    }
    return paces;
  }

  private static StoreRecord readRecord(MessageUnpacker unpacker, int frameLength)
      throws IOException {
    String topic = unpacker.unpackString();
    String key = unpacker.unpackString();
    long offset = unpacker.unpackLong();
    if (!unpacker.unpackBoolean()) {
      return new StoreRecord(topic, key, readPosition(offset, unpacker), Optional.empty());
    }
    int length = unpacker.unpackBinaryHeader();
    if (length > frameLength) {
      throw new IOException("record value of " + length + " bytes in a frame of " + frameLength);
    }
    byte[] value = unpacker.readPayload(length);
    return new StoreRecord(topic, key, readPosition(offset, unpacker), Optional.of(value));
  }

  /** Reads the era, which is missing if the store does not state it. */
  private static StorePosition readPosition(long offset, MessageUnpacker unpacker)
      throws IOException {
    return new StorePosition(unpacker.hasNext() ? unpacker.unpackLong() : 0, offset);
  }
}
