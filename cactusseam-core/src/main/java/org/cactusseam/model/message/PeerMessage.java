package org.cactusseam.model.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.cactusseam.model.NodeName;
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
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.Handover;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.PeerStatus;
import org.cactusseam.model.control.StoredRecord;
import org.cactusseam.model.quarantine.Suspicions;

/** A message between entry daemons. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
  @JsonSubTypes.Type(value = PeerMessage.Proof.class, name = "proof"),
  @JsonSubTypes.Type(value = PeerMessage.Ping.class, name = "ping"),
  @JsonSubTypes.Type(value = PeerMessage.Pong.class, name = "pong"),
  @JsonSubTypes.Type(value = PeerMessage.Status.class, name = "status"),
  @JsonSubTypes.Type(value = PeerMessage.StatusRequest.class, name = "status-request"),
  @JsonSubTypes.Type(value = PeerMessage.RecordsRequest.class, name = "records-request"),
  @JsonSubTypes.Type(value = PeerMessage.Records.class, name = "records"),
  @JsonSubTypes.Type(value = PeerMessage.State.class, name = "state"),
  @JsonSubTypes.Type(value = PeerMessage.HandoverOffer.class, name = "hand-over"),
  @JsonSubTypes.Type(value = PeerMessage.HandoverAccepted.class, name = "hand-over-accepted"),
  @JsonSubTypes.Type(value = PeerMessage.InterimOwner.class, name = "stand-in"),
  @JsonSubTypes.Type(value = PeerMessage.Restriction.class, name = "restriction"),
  @JsonSubTypes.Type(value = PeerMessage.RestrictionReply.class, name = "restriction-answer"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimQuery.class, name = "claim-question"),
  @JsonSubTypes.Type(value = PeerMessage.ClaimReply.class, name = "claim-reply"),
  @JsonSubTypes.Type(value = PeerMessage.Loads.class, name = "loads"),
  @JsonSubTypes.Type(value = PeerMessage.AskOrderToken.class, name = "ask-order-token"),
  @JsonSubTypes.Type(value = PeerMessage.OrderToken.class, name = "order-token"),
  @JsonSubTypes.Type(value = PeerMessage.AskPermit.class, name = "ask"),
  @JsonSubTypes.Type(value = PeerMessage.PermitDecision.class, name = "decided"),
  @JsonSubTypes.Type(value = PeerMessage.ResponseStarted.class, name = "confirmed"),
  @JsonSubTypes.Type(value = PeerMessage.RunningAttempts.class, name = "inventory"),
  @JsonSubTypes.Type(value = PeerMessage.TransferAttempt.class, name = "adopt"),
  @JsonSubTypes.Type(value = PeerMessage.AttemptEnded.class, name = "ended"),
  @JsonSubTypes.Type(value = PeerMessage.SuspicionsUpdate.class, name = "suspicions"),
  @JsonSubTypes.Type(value = PeerMessage.SuspicionsReply.class, name = "suspicions-answer"),
  @JsonSubTypes.Type(value = PeerMessage.FailureAcknowledged.class, name = "failure-released"),
  @JsonSubTypes.Type(value = PeerMessage.ListRequests.class, name = "query"),
  @JsonSubTypes.Type(value = PeerMessage.RequestList.class, name = "reply")
})
public sealed interface PeerMessage {

  /** Version of this protocol; connections of other versions are refused. */
  int PROTOCOL_VERSION = 1;

  /**
   * First message of each side of a connection.
   *
   * @param protocol version of the protocol
   * @param cluster name of the deployment
   * @param member sender
   * @param challenge random text that the other side signs
   */
  record Hello(int protocol, String cluster, Member member, String challenge)
      implements PeerMessage {}

  /**
   * Second message of each side: proves that the sender has the cluster key.
   *
   * @param signature HMAC over the other side's challenge and the sender's name
   */
  record Proof(String signature) implements PeerMessage {}

  /**
   * Heartbeat.
   *
   * @param sequence number of the ping, echoed by the {@link Pong}
   * @param status what the sender states of itself
   */
  record Ping(long sequence, PeerStatus status) implements PeerMessage {}

  /**
   * Answer to a {@link Ping}.
   *
   * @param sequence number of the ping
   * @param status what the sender states of itself
   */
  record Pong(long sequence, PeerStatus status) implements PeerMessage {}

  /** Asks for the {@link Status} of the receiver. */
  record StatusRequest() implements PeerMessage {}

  /**
   * What the sender states of itself, outside of pings.
   *
   * @param status statement
   * @param suspicions digest of what the sender knows of crashes of backend servers
   */
  record Status(PeerStatus status, long suspicions) implements PeerMessage {}

  /**
   * What the sender knows of crashes of backend servers; answered by {@link SuspicionsReply}. Sent
   * after a crash and when digests differ.
   *
   * @param known value of the sender
   */
  record SuspicionsUpdate(Suspicions known) implements PeerMessage {}

  /**
   * Answers {@link SuspicionsUpdate} and shows that the sender has merged it.
   *
   * @param known value of the sender after the merge
   */
  record SuspicionsReply(Suspicions known) implements PeerMessage {}

  /**
   * Answers {@link AttemptEnded} of a broken attempt: its failure may be answered or retried,
   * because it was no crash or the owners of the pool's shards know of it.
   *
   * @param attempt attempt
   */
  record FailureAcknowledged(PermitRequestId attempt) implements PeerMessage {}

  /**
   * Asks for control records that the sender could not read from the log.
   *
   * @param fromOffset first offset that the sender lacks
   */
  record RecordsRequest(long fromOffset) implements PeerMessage {}

  /**
   * Control records, without a gap.
   *
   * @param records records in the order of their offsets
   */
  record Records(List<StoredRecord> records) implements PeerMessage {

    /** Copies the list. */
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * One part of a snapshot of the sender's control state.
   *
   * @param snapshot part
   */
  record State(ControlRecord.Snapshot snapshot) implements PeerMessage {}

  /**
   * A leaving run hands a shard over.
   *
   * @param handover handover
   */
  record HandoverOffer(Handover handover) implements PeerMessage {}

  /**
   * The successor accepted a handover.
   *
   * @param handover handover
   */
  record HandoverAccepted(Handover handover) implements PeerMessage {}

  /**
   * Tells who stands in for the owner of a shard that the log names.
   *
   * @param handover handover that the sender accepted
   */
  record InterimOwner(Handover handover) implements PeerMessage {}

  /**
   * A restriction that applies before the log contains it.
   *
   * @param order change that takes something out of service
   */
  record Restriction(ControlRecord.Change order) implements PeerMessage {}

  /**
   * Tells whether a {@link Restriction} is in force at the sender.
   *
   * @param commandId identity of the command
   * @param node sender
   * @param inForce whether it is in force
   */
  record RestrictionReply(String commandId, NodeName node, boolean inForce)
      implements PeerMessage {}

  /**
   * Asks the owner of a shard for a permit, or asks again while the attempt waits.
   *
   * @param request attempt
   * @param round number of the question; the validity of the permit counts from when it was sent
   * @param viewOffset offset of the next control record that the sender will apply; an owner that
   *     knows a later change of the account, its class or the route refuses
   */
  record AskPermit(PermitRequest request, int round, long viewOffset) implements PeerMessage {}

  /**
   * Answers {@link AskPermit}, possibly several times.
   *
   * @param decision decision
   * @param round number of the last question that the owner had read when it decided
   */
  record PermitDecision(AdmissionDecision decision, int round) implements PeerMessage {}

  /**
   * Tells the owner that the backend server answered with its response head.
   *
   * @param shard shard
   * @param attempt attempt
   * @param condition what the server says of itself
   */
  record ResponseStarted(ShardId shard, PermitRequestId attempt, BackendCondition condition)
      implements PeerMessage {}

  /**
   * Tells the owner of a shard, once a second, all attempts that run for the sender. It repairs
   * lost {@link AttemptEnded} messages and reports progress.
   *
   * @param shard shard
   * @param boot identity of the sender's run
   * @param attempts attempts with their progress
   */
  record RunningAttempts(ShardId shard, String boot, List<RunningAttempt> attempts)
      implements PeerMessage {}

  /**
   * An attempt that runs.
   *
   * @param sequence number of the attempt within the sender's run
   * @param tokens tokens delivered so far
   */
  record RunningAttempt(long sequence, long tokens) {}

  /**
   * Tells a new owner of a shard about an attempt that an earlier owner granted.
   *
   * @param request attempt
   * @param permit permit under which it runs
   * @param tokens tokens delivered so far
   */
  record TransferAttempt(PermitRequest request, Permit permit, long tokens)
      implements PeerMessage {}

  /**
   * Tells the owner that an attempt ended.
   *
   * @param shard shard
   * @param attempt attempt
   * @param end how it ended
   * @param tokens tokens delivered
   */
  record AttemptEnded(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens)
      implements PeerMessage {}

  /**
   * Asks for the requests that the receiver serves.
   *
   * @param id identity of the question
   */
  record ListRequests(long id) implements PeerMessage {}

  /**
   * Answers {@link ListRequests}.
   *
   * @param id identity of the question
   * @param node answering entry daemon
   * @param requests requests that it serves
   */
  record RequestList(long id, NodeName node, List<RequestSummary> requests)
      implements PeerMessage {}

  /**
   * Asks the node of a claim about it.
   *
   * @param asker attempt that waits for the answer
   * @param key idempotency key
   * @param claim claim of the receiver
   */
  record ClaimQuery(ClaimId asker, ClaimKey key, ClaimId claim) implements PeerMessage {}

  /**
   * Answers a {@link ClaimQuery}.
   *
   * @param asker attempt that waits for the answer
   * @param claim claim of the sender
   * @param answer what the sender knows of it
   */
  record ClaimReply(ClaimId asker, ClaimId claim, ClaimStatus answer) implements PeerMessage {}

  /**
   * Loads of the shards that the sender owns, so that requesters can choose between shards.
   *
   * @param loads one entry for each shard
   */
  record Loads(List<ShardLoadEntry> loads) implements PeerMessage {

    /** Copies the list. */
    public Loads {
      loads = List.copyOf(loads);
    }
  }

  /**
   * Load of one shard.
   *
   * @param shard shard
   * @param load summary
   */
  record ShardLoadEntry(ShardId shard, ShardLoad load) {}

  /**
   * Asks the holder of the weight store's token bucket for a token. It is repeated while the order
   * waits; a receiver that does not hold the bucket ignores it.
   *
   * @param order offset of the order
   */
  record AskOrderToken(long order) implements PeerMessage {}

  /**
   * Grants a token for one send of an order.
   *
   * @param order offset of the order
   */
  record OrderToken(long order) implements PeerMessage {}
}
