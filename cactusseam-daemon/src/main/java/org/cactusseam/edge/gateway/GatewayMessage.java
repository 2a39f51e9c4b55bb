package org.cactusseam.edge.gateway;

import java.util.Map;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.logic.gateway.ServerPaces;
import org.cactusseam.logic.rollout.RolloutReport;
import org.cactusseam.logic.rollout.RolloutState;
import org.cactusseam.model.gateway.StorePosition;
import org.cactusseam.model.gateway.StoreRecord;
import org.cactusseam.model.quarantine.Suspicions;

/** Messages between gateways. Any message may be lost; a later one makes up for it. */
sealed interface GatewayMessage {

  /**
   * Load that a gateway has placed on the servers, and the pace that these have stated to it.
   *
   * @param node name of the sender
   * @param loads load by server identifier
   * @param paces recent statements by server identifier; empty if no server states its pace
   */
  record Loads(
      String node,
      Map<String, ServerLoads.ServerLoad> loads,
      Map<String, ServerPaces.AgedPace> paces)
      implements GatewayMessage {

    /** Creates a message without paces, as gateways of earlier versions send it. */
    Loads(String node, Map<String, ServerLoads.ServerLoad> loads) {
      this(node, loads, Map.of());
    }
  }

  /**
   * Asks for the records of the store, which the sender cannot read.
   *
   * @param node name of the sender
   */
  record RecordsRequest(String node) implements GatewayMessage {}

  /**
   * Reply to {@link RecordsRequest}: the sender forwards the records that it reads.
   *
   * @param node name of the sender
   */
  record RecordsAccepted(String node) implements GatewayMessage {}

  /**
   * Offers a long record, which the receiver may have read already.
   *
   * @param node name of the sender
   * @param topic topic of the store
   * @param key key within the topic
   * @param position position in the topic
   */
  record RecordOffer(String node, String topic, String key, StorePosition position)
      implements GatewayMessage {}

  /**
   * Asks for a record that was offered.
   *
   * @param node name of the sender, which lacks the record
   * @param topic topic of the store
   * @param key key within the topic
   */
  record RecordFetch(String node, String topic, String key) implements GatewayMessage {}

  /**
   * A record of the store.
   *
   * @param record record as the sender knows it
   */
  record RecordUpdate(StoreRecord record) implements GatewayMessage {}

  /**
   * A server leaves, as it has said itself.
   *
   * @param serverId identifier of the server
   * @param startedAtMillis start of its process, in milliseconds since the Unix epoch
   * @param isStated whether an answer to a request has stated it, not only a report
   */
  record ServerDeparture(String serverId, long startedAtMillis, boolean isStated)
      implements GatewayMessage {}

  /**
   * Crashes of servers and convictions that the sender knows; all of them on a new connection,
   * otherwise what has changed.
   *
   * @param node name of the sender
   * @param suspicions crash reports and convictions
   */
  record QuarantineUpdate(String node, Suspicions suspicions) implements GatewayMessage {}

  /**
   * Responses of two versions of a service, as the sender has received them. Only sent in
   * deployments with roll-outs.
   *
   * @param report report of the sender
   */
  record RolloutEvidence(RolloutReport report) implements GatewayMessage {}

  /**
   * A new version is bad and must not receive requests. The stage in the store follows.
   *
   * @param service name of the service
   * @param orderId identifier of the order
   * @param reason evidence, for the log
   */
  record RolloutHold(String service, long orderId, String reason) implements GatewayMessage {}

  /**
   * A stage that the store has, for gateways that cannot read it.
   *
   * @param state state of an order
   */
  record RolloutUpdate(RolloutState state) implements GatewayMessage {}

  /** Reply to {@link Loads}, which shows that the connection is alive. */
  record LoadsAck() implements GatewayMessage {}
}
