package org.cactusseam.model.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.cactusseam.model.control.Member;

/** A message between entry daemons. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
  @JsonSubTypes.Type(value = PeerMessage.Proof.class, name = "proof"),
  @JsonSubTypes.Type(value = PeerMessage.Ping.class, name = "ping"),
  @JsonSubTypes.Type(value = PeerMessage.Pong.class, name = "pong"),
  @JsonSubTypes.Type(value = PeerMessage.AskPermit.class, name = "ask"),
  @JsonSubTypes.Type(value = PeerMessage.Decided.class, name = "decided"),
  @JsonSubTypes.Type(value = PeerMessage.Confirmed.class, name = "confirmed"),
  @JsonSubTypes.Type(value = PeerMessage.Inventory.class, name = "inventory"),
  @JsonSubTypes.Type(value = PeerMessage.Adopt.class, name = "adopt"),
  @JsonSubTypes.Type(value = PeerMessage.Ended.class, name = "ended"),
  @JsonSubTypes.Type(value = PeerMessage.QueryRequest.class, name = "query"),
  @JsonSubTypes.Type(value = PeerMessage.QueryReply.class, name = "reply")
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
   * @param nextOffset offset of the next control record that the sender will apply
   */
  record Ping(long sequence, long nextOffset) implements PeerMessage {}

  /**
   * Answer to a {@link Ping}.
   *
   * @param sequence number of the ping
   * @param nextOffset offset of the next control record that the sender will apply
   * @param logAgeMillis time since the sender sent the last read of the log that found nothing new,
   *     in milliseconds; -1 if there was none
   */
  record Pong(long sequence, long nextOffset, long logAgeMillis) implements PeerMessage {}

  /**
   * Asks the owner of a shard for a permit, or asks again while the attempt waits.
   *
   * @param request attempt
   * @param round number of the question; the validity of the permit counts from when it was sent
   */
  record AskPermit(PermitRequest request, int round) implements PeerMessage {}

  /**
   * Answers {@link AskPermit}, possibly several times.
   *
   * @param decision decision
   * @param round number of the last question that the owner had read when it decided
   */
  record Decided(AdmissionDecision decision, int round) implements PeerMessage {}

  /**
   * Tells the owner that the backend server answered with its response head.
   *
   * @param shard shard
   * @param attempt attempt
   * @param condition what the server says of itself
   */
  record Confirmed(ShardId shard, PermitRequestId attempt, BackendCondition condition)
      implements PeerMessage {}

  /**
   * Tells the owner of a shard, once a second, all attempts that run for the sender. It repairs
   * lost {@link Ended} messages and reports progress.
   *
   * @param shard shard
   * @param boot identity of the sender's run
   * @param attempts attempts with their progress
   */
  record Inventory(ShardId shard, String boot, List<OpenAttempt> attempts) implements PeerMessage {}

  /**
   * An attempt that runs.
   *
   * @param sequence number of the attempt within the sender's run
   * @param tokens tokens delivered so far
   */
  record OpenAttempt(long sequence, long tokens) {}

  /**
   * Tells a new owner of a shard about an attempt that an earlier owner granted.
   *
   * @param request attempt
   * @param server backend server that runs it
   * @param tokens tokens delivered so far
   * @param confirmed whether the server has answered with its response head
   */
  record Adopt(PermitRequest request, BackendServerName server, long tokens, boolean confirmed)
      implements PeerMessage {}

  /**
   * Tells the owner that an attempt ended.
   *
   * @param shard shard
   * @param attempt attempt
   * @param end how it ended
   * @param tokens tokens delivered
   */
  record Ended(ShardId shard, PermitRequestId attempt, AttemptEnd end, long tokens)
      implements PeerMessage {}

  /**
   * Asks for the requests that the receiver serves.
   *
   * @param id identity of the question
   */
  record QueryRequest(long id) implements PeerMessage {}

  /**
   * Answers {@link QueryRequest}.
   *
   * @param id identity of the question
   * @param node answering entry daemon
   * @param requests requests that it serves
   */
  record QueryReply(long id, NodeName node, List<RequestSummary> requests) implements PeerMessage {}
}
