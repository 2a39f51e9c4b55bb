package org.cactusseam.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.admission.ShardLoad;
import org.cactusseam.model.claim.ClaimId;
import org.cactusseam.model.claim.ClaimKey;
import org.cactusseam.model.claim.ClaimStatus;
import org.cactusseam.model.claim.StoredResponse;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.RunId;
import org.cactusseam.model.control.SnapshotEntry;
import org.cactusseam.model.control.StoredRecord;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.message.RequestSummary;
import org.cactusseam.model.message.ShardRolloutReport;
import org.cactusseam.model.quarantine.Conviction;
import org.cactusseam.model.quarantine.CrashId;
import org.cactusseam.model.quarantine.CrashReport;
import org.cactusseam.model.quarantine.Suspicions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Guards against messages that change when they are encoded and decoded, and against bytes of a
 * hostile peer that raise exceptions instead of a failure.
 */
class PeerCodecTest {

  private static final ShardId SHARD = new ShardId(new PoolName("llm"), new RegionName("ost"), 0);
  private static final PermitRequestId ATTEMPT =
      new PermitRequestId(new NodeName("entry-1"), "b1", 7);
  private static final BackendServerName SERVER = new BackendServerName("llm-1");
  private static final Member MEMBER =
      new Member(
          new NodeName("entry-1"),
          "b1",
          "127.0.0.1",
          21301,
          new FailureDomainName("ost-wien"),
          new RegionName("ost"));
  private static final RunId RUN = RunId.of(MEMBER);
  private static final PeerStatus STATUS =
      new PeerStatus(RUN, 17, OptionalLong.of(250), true, false);
  private static final ObjectKey KEY = new ObjectKey(ObjectKind.FAILURE_DOMAIN, "ost-wien");
  private static final ControlRecord.Change CHANGE =
      new ControlRecord.Change(
          "c1",
          KEY,
          3,
          Optional.of(
              new FailureDomain(
                  new FailureDomainName("ost-wien"), new RegionName("ost"), ServiceState.OUT)),
          "operator");
  private static final ClaimId CLAIM = new ClaimId(new NodeName("entry-1"), "b1", 3);
  private static final ClaimKey CLAIM_KEY =
      new ClaimKey(
          new AccountName("salon"), UUID.fromString("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"));
  private static final Handover HANDOVER = new Handover(SHARD, RUN, 12, RUN, RUN, Set.of(RUN));
  private static final PermitRequest REQUEST =
      new PermitRequest(
          ATTEMPT,
          SHARD,
          "r1",
          new AccountName("salon"),
          new PriorityClassName("standard"),
          new RouteName("letters"),
          12,
          List.of(5L, -6L),
          100,
          30_000,
          List.of(SERVER),
          "f00d");

  private static final Suspicions SUSPICIONS =
      new Suspicions(
          List.of(
              new CrashReport(
                  new CrashId(SERVER, "i1", new NodeName("entry-1"), 1_000),
                  Set.of("f00d", "beef"),
                  Set.of("beef"),
                  true)),
          List.of(new Conviction("f00d", 2_000)));

  private static final RequestSummary SUMMARY =
      new RequestSummary(
          "r1",
          new NodeName("entry-1"),
          new AccountName("salon"),
          new PriorityClassName("standard"),
          new RouteName("letters"),
          "llm-1",
          "streaming",
          5,
          100);

  private static final ShardRolloutReport ROLLOUT_REPORT =
      new ShardRolloutReport(
          SHARD,
          12,
          ShardRolloutReport.Verdict.GOOD,
          "0 failures",
          new ShardRolloutReport.ResponseTotals(100, 2, 3),
          ShardRolloutReport.ResponseTotals.NONE);

  static Stream<PeerMessage> messages() {
    return Stream.of(
        new PeerMessage.Hello(1, "zopfwerk", MEMBER, "challenge"),
        new PeerMessage.Proof("signature"),
        new PeerMessage.Ping(4, STATUS),
        new PeerMessage.Pong(4, STATUS),
        new PeerMessage.StatusRequest(),
        new PeerMessage.Status(STATUS, -7),
        new PeerMessage.SuspicionsUpdate(SUSPICIONS),
        new PeerMessage.SuspicionsReply(Suspicions.NONE),
        new PeerMessage.FailureAcknowledged(ATTEMPT),
        new PeerMessage.RecordsRequest(12),
        new PeerMessage.Records(List.of(new StoredRecord(12, 1_000, CHANGE))),
        new PeerMessage.State(
            new ControlRecord.Snapshot(
                13,
                1_000,
                0,
                1,
                List.of(new SnapshotEntry.Tombstone(KEY, 12, 1_000, Optional.of(SHARD))))),
        new PeerMessage.HandoverOffer(HANDOVER),
        new PeerMessage.HandoverAccepted(HANDOVER),
        new PeerMessage.InterimOwner(HANDOVER),
        new PeerMessage.Restriction(CHANGE),
        new PeerMessage.Loads(
            List.of(
                new PeerMessage.ShardLoadEntry(
                    SHARD, new ShardLoad(1, 2, 3, 4.5, List.of(6L, 7L))))),
        new PeerMessage.ClaimQuery(CLAIM, CLAIM_KEY, CLAIM),
        new PeerMessage.ClaimReply(
            CLAIM,
            CLAIM,
            new ClaimStatus.Stored(new StoredResponse(200, "text/plain", new byte[] {1, 2}))),
        new PeerMessage.RestrictionReply("c1", new NodeName("entry-1"), true),
        new PeerMessage.AskPermit(REQUEST, 3, 17),
        new PeerMessage.PermitDecision(
            new AdmissionDecision.Granted(new Permit(ATTEMPT, SHARD, SERVER, 12)), 3),
        new PeerMessage.PermitDecision(
            new AdmissionDecision.Refused(ATTEMPT, ResultCode.OVERLOADED, "full", 250), 0),
        new PeerMessage.PermitDecision(new AdmissionDecision.Queued(ATTEMPT), 0),
        new PeerMessage.ResponseStarted(SHARD, ATTEMPT, new BackendCondition("i1", true)),
        new PeerMessage.RunningAttempts(
            SHARD, "b1", List.of(new PeerMessage.RunningAttempt(7, 30))),
        new PeerMessage.TransferAttempt(REQUEST, new Permit(ATTEMPT, SHARD, SERVER, 12), 30),
        new PeerMessage.AttemptEnded(SHARD, ATTEMPT, AttemptEnd.COMPLETED, 30),
        new PeerMessage.AskOrderToken(1_207),
        new PeerMessage.OrderToken(1_207),
        new PeerMessage.ListRequests(1),
        new PeerMessage.RequestList(1, new NodeName("entry-1"), List.of(SUMMARY)),
        new PeerMessage.Restriction(serverChange("")),
        new PeerMessage.Restriction(serverChange("v2")),
        new PeerMessage.AttemptResponse(SHARD, ATTEMPT, SERVER, new RouteName("r"), true, 250),
        new PeerMessage.ShardRollouts(List.of(ROLLOUT_REPORT)));
  }

  private static ControlRecord.Change serverChange(String version) {
    BackendServer server =
        new BackendServer(
            SERVER,
            SHARD.pool(),
            new FailureDomainName("ost-wien"),
            BackendKind.PLAIN,
            "127.0.0.1",
            80,
            true,
            1,
            2,
            0,
            ServiceState.IN,
            version);
    return new ControlRecord.Change("c1", server.key(), 3, Optional.of(server), "operator");
  }

  @ParameterizedTest
  @MethodSource("messages")
  void a_decoded_message_equals_the_encoded_one(PeerMessage message) {
    Buffer frame = PeerCodec.encode(message);

    byte[] value = frame.getBytes(PeerCodec.LENGTH_BYTES, frame.length());

    assertThat(frame.getInt(0), is(value.length));
    assertThat(PeerCodec.decode(value).get(), is(message));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void a_truncated_message_is_a_failure_instead_of_an_exception(PeerMessage message) {
    Buffer frame = PeerCodec.encode(message);
    for (int length = PeerCodec.LENGTH_BYTES; length < frame.length(); length++) {
      byte[] value = frame.getBytes(PeerCodec.LENGTH_BYTES, length);

      assertThat(PeerCodec.decode(value).isFailure(), is(true));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"[\"ask\",[null,0,0]]", "[\"ask\",[]]", "[\"ended\",[null,null,null,0]]"})
  void a_message_without_a_required_field_is_a_failure(String json) throws Exception {
    byte[] value =
        new ObjectMapper(new MessagePackFactory())
            .writeValueAsBytes(new ObjectMapper().readTree(json));

    assertThat(PeerCodec.decode(value).isFailure(), is(true));
  }

  @Property(tries = 10_000, seed = "4711")
  void hostile_bytes_never_raise_an_exception(@ForAll byte[] value) {
    PeerCodec.decode(value);
  }

  @Property(tries = 10_000, seed = "4712")
  void changed_bytes_of_a_message_never_raise_an_exception(
      @ForAll @IntRange(max = 35) int index, @ForAll int position, @ForAll byte replacement) {
    PeerMessage message = messages().toList().get(index);
    Buffer frame = PeerCodec.encode(message);
    byte[] value = frame.getBytes(PeerCodec.LENGTH_BYTES, frame.length());
    value[Math.floorMod(position, value.length)] = replacement;

    PeerCodec.decode(value);
  }

  @Property(tries = 10_000, seed = "4713")
  void frames_do_not_depend_on_how_the_bytes_are_split(
      @ForAll @Size(min = 1, max = 5) List<@IntRange(max = 35) Integer> indexes,
      @ForAll @IntRange(min = 1, max = 40) int chunkBytes) {
    List<PeerMessage> sent = indexes.stream().map(messages().toList()::get).toList();
    Buffer bytes = Buffer.buffer();
    sent.forEach(message -> bytes.appendBuffer(PeerCodec.encode(message)));
    List<PeerMessage> received = new ArrayList<>();
    FrameReader reader =
        new FrameReader(
            value -> received.add(PeerCodec.decode(value).get()),
            fault -> {
              throw new AssertionError(fault);
            });

    for (int start = 0; start < bytes.length(); start += chunkBytes) {
      reader.handle(bytes.getBuffer(start, Math.min(bytes.length(), start + chunkBytes)));
    }

    assertThat(received, is(sent));
  }

  @Property(tries = 10_000, seed = "4714")
  void an_invalid_frame_length_ends_the_reading(@ForAll int length, @ForAll byte[] rest) {
    List<byte[]> frames = new ArrayList<>();
    List<String> faults = new ArrayList<>();
    FrameReader reader = new FrameReader(frames::add, faults::add);

    reader.handle(Buffer.buffer().appendInt(length).appendBytes(rest));

    if (length <= 0 || length > PeerCodec.MAXIMUM_FRAME_BYTES) {
      assertThat(faults.size(), is(1));
      assertThat(frames.size(), is(0));
    } else {
      assertThat(faults.size(), lessThanOrEqualTo(1));
    }
  }
}
