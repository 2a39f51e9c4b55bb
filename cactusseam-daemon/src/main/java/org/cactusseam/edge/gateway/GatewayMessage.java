package org.cactusseam.edge.gateway;

import java.util.Map;
import org.cactusseam.logic.gateway.ServerLoads;
import org.cactusseam.model.gateway.StoreRecord;

/** Messages between gateways. Each one may be lost; the next one replaces it. */
sealed interface GatewayMessage {

  /**
   * Load that a gateway has placed at the servers.
   *
   * @param node gateway
   * @param loads load by server
   */
  record Loads(String node, Map<String, ServerLoads.ServerLoad> loads) implements GatewayMessage {}

  /**
   * A gateway cannot read the store and asks for its records.
   *
   * @param node gateway
   */
  record RecordsRequest(String node) implements GatewayMessage {}

  /**
   * Answer to {@link RecordsRequest}: this gateway passes on what it reads.
   *
   * @param node gateway that reads the store
   */
  record RecordsAccepted(String node) implements GatewayMessage {}

  /**
   * A gateway has read a long record, which others may have read as well.
   *
   * @param node gateway
   * @param topic topic
   * @param key key
   * @param offset position in the topic
   */
  record RecordOffer(String node, String topic, String key, long offset)
      implements GatewayMessage {}

  /**
   * A gateway asks for a record that was offered.
   *
   * @param node gateway that lacks it
   * @param topic topic
   * @param key key
   */
  record RecordFetch(String node, String topic, String key) implements GatewayMessage {}

  /**
   * A record of the store.
   *
   * @param record record
   */
  record RecordUpdate(StoreRecord record) implements GatewayMessage {}

  /**
   * A server has reported that it leaves.
   *
   * @param serverId server
   * @param bornMillis start of its process, in milliseconds of the Unix epoch
   */
  record ServerDeparture(String serverId, long bornMillis) implements GatewayMessage {}

  /** Answer to {@link Loads}: the connection is alive. */
  record LoadsAck() implements GatewayMessage {}
}
