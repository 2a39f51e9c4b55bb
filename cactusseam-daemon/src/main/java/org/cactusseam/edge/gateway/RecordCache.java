package org.cactusseam.edge.gateway;

import java.util.List;
import java.util.Optional;
import org.cactusseam.model.gateway.StoreRecord;

/**
 * Records of the platform's store that gateways pass on to each other. The store may turn some VMs
 * away for longer than a change of the configuration may take.
 */
public interface RecordCache {

  /**
   * Returns the newest record of each key.
   *
   * @return records
   */
  List<StoreRecord> newest();

  /**
   * Returns the newest record of a key.
   *
   * @param topic topic
   * @param key key
   * @return record, absent if none is known
   */
  Optional<StoreRecord> newest(String topic, String key);

  /**
   * Takes a record from another gateway. It is ignored if a newer one is known.
   *
   * @param record record
   */
  void relayed(StoreRecord record);

  /**
   * Returns whether this gateway cannot read the store.
   *
   * @return whether the last read failed
   */
  boolean isStoreAway();

  /**
   * Sets how many gateways tell each other what they read.
   *
   * @param number number of connected gateways, this one included
   */
  void setGatewayCount(int number);

  /**
   * Sets the receiver of records that this gateway reads itself.
   *
   * @param receiver receiver
   */
  void onRead(Receiver receiver);

  /** Receives the records that a gateway reads itself. */
  interface Receiver {

    /**
     * A record was read that was not known.
     *
     * @param record record
     * @param urgent whether all gateways should know it before their own next read: a server
     *     leaves, or an operator has changed something
     */
    void read(StoreRecord record, boolean urgent);
  }
}
