package org.cactusseam.model.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RouteName;
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

/**
 * A message between entry daemons. Messages may be lost with a connection, so the protocols on top
 * repeat or reconcile what must arrive.
 */
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
  @JsonSubTypes.Type(value = PeerMessage.AttemptResponse.class, name = "response"),
  @JsonSubTypes.Type(value = PeerMessage.ShardRollouts.class, name = "roll-outs"),
  @JsonSubTypes.Type(value = PeerMessage.SuspicionsUpdate.class, name = "suspicions"),
  @JsonSubTypes.Type(value = PeerMessage.SuspicionsReply.class, name = "suspicions-answer"),
  @JsonSubTypes.Type(value = PeerMessage.FailureAcknowledged.class, name = "failure-released"),
  @JsonSubTypes.Type(value = PeerMessage.ListRequests.class, name = "query"),
  @JsonSubTypes.Type(value = PeerMessage.RequestList.class, name = "reply")
})
public sealed interface PeerMessage {

  /** Version of the peer protocol; connections with another version are rejected. */
  int PROTOCOL_VERSION = 1;

  /**
   * First message of each side of a connection.
   *
   * @param protocol protocol version of the sender
   * @param cluster name of the deployment
   * @param member description of the sender's run
   * @param challenge random text that the other side must sign
   */
  record Hello(int protocol, String cluster, Member member, String challenge)
      implements PeerMessage {}

  /**
   * Second message of each side, which proves that the sender has the cluster key.
   *
   * @param signature HMAC over the challenge of the other side and the name of the sender
   */
  record Proof(String signature) implements PeerMessage {}

  /**
   * Heartbeat.
   *
   * @param sequence number of the ping, echoed by the {@link Pong}
   * @param status status of the sender
   */
  record Ping(long sequence, PeerStatus status) implements PeerMessage {}

  /**
   * Answer to a {@link Ping}.
   *
   * @param sequence number of the answered ping
   * @param status status of the sender
   */
  record Pong(long sequence, PeerStatus status) implements PeerMessage {}

  /** Asks for the {@link Status} of the receiver. */
  record StatusRequest() implements PeerMessage {}

  /**
   * Status of the sender outside of pings.
   *
   * @param status status of the sender
   * @param suspicions digest of the sender's knowledge about crashes of backend servers
   */
  record Status(PeerStatus status, long suspicions) implements PeerMessage {}

  /**
   * Knowledge of the sender about crashes of backend servers; answered by {@link SuspicionsReply}.
   * It is sent after a crash and when digests differ.
   *
   * @param known value of the sender, which the receiver merges into its own
   */
  record SuspicionsUpdate(Suspicions known) implements PeerMessage {}

  /**
   * Answers {@link SuspicionsUpdate} and confirms that the sender has merged it.
   *
   * @param known value of the sender after the merge
   */
  record SuspicionsReply(Suspicions known) implements PeerMessage {}

  /**
   * Answers {@link AttemptEnded} of a failed attempt: the failure may be returned to the caller or
   * retried, because it was no crash or the owners of the pool's shards know of the crash.
   *
   * @param attempt identity of the failed attempt
   */
  record FailureAcknowledged(PermitRequestId attempt) implements PeerMessage {}

  /**
   * Requests control records that the sender could not read from the log.
   *
   * @param fromOffset first offset that the sender lacks
   */
  record RecordsRequest(long fromOffset) implements PeerMessage {}

  /**
   * Answers {@link RecordsRequest} with control records.
   *
   * @param records records with consecutive offsets in ascending order
   */
  record Records(List<StoredRecord> records) implements PeerMessage {

    /** Copies the list. */
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * One part of a snapshot of the sender's control state, sent if it no longer has the requested
   * records.
   *
   * @param snapshot part of the snapshot
   */
  record State(ControlRecord.Snapshot snapshot) implements PeerMessage {}

  /**
   * Hands over a shard that the sender no longer grants permits for.
   *
   * @param handover statement of the sender
   */
  record HandoverOffer(Handover handover) implements PeerMessage {}

  /**
   * Confirms that the sender, the successor, accepted a handover.
   *
   * @param handover accepted handover
   */
  record HandoverAccepted(Handover handover) implements PeerMessage {}

  /**
   * Announces that the sender acts as interim owner of a shard in place of the owner that the log
   * names.
   *
   * @param handover handover that the sender accepted
   */
  record InterimOwner(Handover handover) implements PeerMessage {}

  /**
   * A restriction that must apply before the log contains it, during an outage of the log.
   *
   * @param order change that takes a failure domain or backend server out of service
   */
  record Restriction(ControlRecord.Change order) implements PeerMessage {}

  /**
   * Answers {@link Restriction}.
   *
   * @param commandId identity of the command
   * @param node name of the sender
   * @param inForce whether the restriction is in force at the sender
   */
  record RestrictionReply(String commandId, NodeName node, boolean inForce)
      implements PeerMessage {}

  /**
   * Requests a permit from the owner of a shard. The request is repeated while the attempt waits.
   *
   * @param request attempt that needs the permit
   * @param round number of the repetition; the validity of the permit counts from the time at which
   *     the request of this round was sent
   * @param viewOffset offset of the next control record that the sender will apply; an owner that
   *     knows a later change of the account, its class or the route rejects the request
   */
  record AskPermit(PermitRequest request, int round, long viewOffset) implements PeerMessage {}

  /**
   * Answers {@link AskPermit}, possibly several times.
   *
   * @param decision decision of the owner
   * @param round number of the last repetition that the owner had received when it decided
   */
  record PermitDecision(AdmissionDecision decision, int round) implements PeerMessage {}

  /**
   * Notifies the owner of a shard that the backend server has sent its response head.
   *
   * @param shard shard of the server
   * @param attempt identity of the attempt
   * @param condition condition that the server reports about itself
   */
  record ResponseStarted(ShardId shard, PermitRequestId attempt, BackendCondition condition)
      implements PeerMessage {}

  /**
   * Lists, once a second for the owner of a shard, all attempts that run for the sender. It makes
   * up for lost {@link AttemptEnded} messages and reports progress.
   *
   * @param shard shard of the owner
   * @param boot boot identity of the sender's run
   * @param attempts running attempts with their progress
   */
  record RunningAttempts(ShardId shard, String boot, List<RunningAttempt> attempts)
      implements PeerMessage {}

  /**
   * A running attempt.
   *
   * @param sequence number of the attempt within the sender's run
   * @param tokens number of tokens delivered so far
   */
  record RunningAttempt(long sequence, long tokens) {}

  /**
   * Transfers a running attempt that an earlier owner of a shard granted to the new owner.
   *
   * @param request granted attempt
   * @param permit permit under which it runs
   * @param tokens number of tokens delivered so far
   */
  record TransferAttempt(PermitRequest request, Permit permit, long tokens)
      implements PeerMessage {}

  /**
   * Notifies the owner of a shard that an attempt ended.
   *
   * @param shard shard of the owner
   * @param attempt identity of the attempt
   * @param end how the attempt ended
   * @param tokens number of tokens delivered
   */
  record AttemptEnded(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens)
      implements PeerMessage {}

  /**
   * Reports the response of a backend server to the owner of its shard, immediately before the
   * {@link AttemptEnded} of the attempt. It is sent only during a roll-out of the pool; earlier
   * versions do not know it.
   *
   * @param shard shard of the owner
   * @param attempt attempt that was answered
   * @param server backend server that responded
   * @param route route of the request
   * @param failed whether the response was a failure
   * @param responseMillis time until the response was complete or its first token arrived
   */
  record AttemptResponse(
      ShardId shard,
      PermitRequestId attempt,
      BackendServerName server,
      RouteName route,
      boolean failed,
      long responseMillis)
      implements PeerMessage {}

  /**
   * Tells all peers what the sender knows about roll-outs of the pools of its shards. It is sent
   * only during a roll-out; earlier versions do not know it.
   *
   * @param reports one report for each shard
   */
  record ShardRollouts(List<ShardRolloutReport> reports) implements PeerMessage {

    /** Copies the list. */
    public ShardRollouts {
      reports = List.copyOf(reports);
    }
  }

  /**
   * Asks for the requests that the receiver serves.
   *
   * @param id identity of the query, echoed by the {@link RequestList}
   */
  record ListRequests(long id) implements PeerMessage {}

  /**
   * Answers {@link ListRequests}.
   *
   * @param id identity of the query
   * @param node entry daemon that answers
   * @param requests requests that it serves at the moment
   */
  record RequestList(long id, NodeName node, List<RequestSummary> requests)
      implements PeerMessage {}

  /**
   * Asks the entry daemon that made a claim on an idempotency key for the status of the claim.
   *
   * @param asker claim of the sender that waits for the answer
   * @param key claimed idempotency key
   * @param claim claim of the receiver
   */
  record ClaimQuery(ClaimId asker, ClaimKey key, ClaimId claim) implements PeerMessage {}

  /**
   * Answers a {@link ClaimQuery}.
   *
   * @param asker claim of the receiver that waits for the answer
   * @param claim claim of the sender
   * @param answer status of that claim
   */
  record ClaimReply(ClaimId asker, ClaimId claim, ClaimStatus answer) implements PeerMessage {}

  /**
   * Loads of the shards that the sender owns, by which requesters choose between shards.
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
   * @param shard shard that the sender owns
   * @param load summary of its load
   */
  record ShardLoadEntry(ShardId shard, ShardLoad load) {}

  /**
   * Requests a token from the holder of the token bucket that limits the load on the weight store.
   * It is repeated while the order waits; a receiver that does not hold the bucket ignores it.
   *
   * @param order log offset of the order
   */
  record AskOrderToken(long order) implements PeerMessage {}

  /**
   * Grants a token for sending an order once.
   *
   * @param order log offset of the order
   */
  record OrderToken(long order) implements PeerMessage {}
}
