package org.cactusseam.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.vertx.core.buffer.Buffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.edge.peer.PeerCodec;
import org.cactusseam.edge.platform.LogPage;
import org.cactusseam.edge.platform.VirtualMachine;
import org.cactusseam.model.claim.ClaimBatch;
import org.cactusseam.model.claim.ClaimEntry;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.SnapshotEntry;
import org.cactusseam.model.message.PeerMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against changes of the encoding of messages and records that leave a process, for example
 * because a record component was renamed. Decodes samples that an earlier version encoded and
 * expects the same text or bytes from encoding them again.
 */
class WireFormatTest {

  private static final HexFormat HEX = HexFormat.of();

  static Stream<WireSample> controlRecords() {
    return WireSample.read("control-records").stream();
  }

  static Stream<WireSample> claimBatches() {
    return WireSample.read("claim-batches").stream();
  }

  static Stream<WireSample> peerMessages() {
    return WireSample.read("peer-messages").stream();
  }

  static Stream<WireSample> operatorAnswers() {
    return WireSample.read("operator-answers").stream();
  }

  @ParameterizedTest
  @MethodSource("controlRecords")
  void a_control_record_is_encoded_as_before(WireSample sample) {
    ControlRecord value = Json.readRecord(sample.encoded(), ControlRecord.class).get();

    assertThat(Json.write(value), is(sample.encoded()));
  }

  @ParameterizedTest
  @MethodSource("claimBatches")
  void a_batch_of_claims_is_encoded_as_before(WireSample sample) {
    ClaimBatch value = Json.readRecord(sample.encoded(), ClaimBatch.class).get();

    assertThat(Json.write(value), is(sample.encoded()));
  }

  @ParameterizedTest
  @MethodSource("peerMessages")
  void a_peer_message_is_encoded_as_before(WireSample sample) {
    PeerMessage value = PeerCodec.decode(HEX.parseHex(sample.encoded())).get();

    Buffer frame = PeerCodec.encode(value);

    assertThat(
        HEX.formatHex(frame.getBytes(PeerCodec.LENGTH_BYTES, frame.length())),
        is(sample.encoded()));
  }

  @ParameterizedTest
  @MethodSource("operatorAnswers")
  void an_answer_to_an_operator_is_encoded_as_before(WireSample sample) {
    OperatorAnswer value = OperatorAnswer.parse(sample.encoded()).orElseThrow();

    assertThat(value.toJson(), is(sample.encoded()));
  }

  @Test
  void a_page_of_the_log_is_read_by_its_property_names() {
    String page =
        "{\"records\":[{\"offset\":4,\"appended_at_ms\":1000,\"value\":\"v\"}],"
            + "\"earliest\":3,\"end\":5}";

    LogPage value = Json.read(page, LogPage.class).get();

    assertThat(value, is(new LogPage(List.of(new LogPage.LogEntry(4, 1_000, "v")), 3, 5)));
  }

  @Test
  void a_virtual_machine_is_encoded_as_before() {
    String text =
        "{\"name\":\"entry-1\",\"host\":\"127.0.0.1\",\"peer_port\":21301,"
            + "\"failure_domain\":\"ost-wien\",\"region\":\"ost\",\"state\":\"leaving\"}";

    VirtualMachine value = Json.read(text, VirtualMachine.class).get();

    assertThat(Json.write(value), is(text));
  }

  @Test
  void the_samples_contain_every_type() {
    List<ControlRecord> records =
        controlRecords()
            .map(sample -> Json.readRecord(sample.encoded(), ControlRecord.class).get())
            .toList();
    Stream<SnapshotEntry> entries =
        records.stream()
            .filter(ControlRecord.Snapshot.class::isInstance)
            .flatMap(each -> ((ControlRecord.Snapshot) each).entries().stream());
    Stream<ClaimEntry> claims =
        claimBatches()
            .map(sample -> Json.readRecord(sample.encoded(), ClaimBatch.class).get())
            .flatMap(batch -> batch.entries().stream());
    Stream<PeerMessage> messages =
        peerMessages().map(sample -> PeerCodec.decode(HEX.parseHex(sample.encoded())).get());

    assertThat(typesOf(records.stream()), is(recordsBelow(ControlRecord.class)));
    assertThat(typesOf(entries), is(recordsBelow(SnapshotEntry.class)));
    assertThat(typesOf(claims), is(recordsBelow(ClaimEntry.class)));
    assertThat(typesOf(messages), is(recordsBelow(PeerMessage.class)));
  }

  private static Set<Class<?>> typesOf(Stream<?> values) {
    return values.map(Object::getClass).collect(Collectors.toSet());
  }

  private static Set<Class<?>> recordsBelow(Class<?> type) {
    return type.isSealed()
        ? Stream.of(type.getPermittedSubclasses())
            .flatMap(each -> recordsBelow(each).stream())
            .collect(Collectors.toSet())
        : Set.of(type);
  }
}
