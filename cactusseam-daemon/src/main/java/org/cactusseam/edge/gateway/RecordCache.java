package org.cactusseam.edge.gateway;

import java.util.List;
import java.util.Optional;
import org.cactusseam.model.gateway.StorePosition;
import org.cactusseam.model.gateway.StoreRecord;

/**
 * The latest records of the platform's store that this gateway knows. Gateways replicate them to
 * each other, because the store may reject some VMs for longer than a configuration change may take
 * to apply.
 */
public interface RecordCache {

  /**
   * Returns the latest known record of every key in all replicated topics.
   *
   * @return latest records, in no particular order
   */
  List<StoreRecord> latest();

  /**
   * Returns the latest known record of a key.
   *
   * @param topic topic of the store
   * @param key key within the topic
   * @return latest record, empty if none is known
   */
  Optional<StoreRecord> latest(String topic, String key);

  /**
   * Returns whether a record need not be fetched from another gateway.
   *
   * @param topic topic of the store
   * @param key key within the topic
   * @param position position of the record
   * @return whether this record of the key or a later one has been read
   */
  boolean isKnown(String topic, String key, StorePosition position);

  /**
   * Returns the records that hold although the store has lost them. A gateway that starts after the
   * return of the store cannot read them there.
   *
   * @return records in no particular order
   */
  List<StoreRecord> held();

  /**
   * Applies a record that another gateway has sent. Ignored if a newer one of the key is known.
   *
   * @param record record read by another gateway
   */
  void apply(StoreRecord record);

  /**
   * Returns whether this gateway currently cannot read the store.
   *
   * @return whether the last read of any replicated topic failed
   */
  boolean isStoreUnavailable();

  /**
   * Sets the number of gateways that share what they read. The more there are, the less often each
   * of them reads the store.
   *
   * @param number number of connected gateways, this one included
   */
  void setGatewayCount(int number);

  /**
   * Called when the connection to a gateway has ended. What it forwards may be missed, so the store
   * is read again soon.
   */
  void onPeerLost();

  /**
   * Sets the receiver of the records that this gateway reads from the store itself.
   *
   * @param receiver replaces the previous receiver
   */
  void setReceiver(Receiver receiver);

  /** Receives the records that this gateway reads from the store itself. */
  interface Receiver {

    /**
     * Called when a record was read that is newer than the known one of its key.
     *
     * @param record record read from the store
     * @param urgent whether all gateways should have the record before their own next read, because
     *     a server joins or leaves or an operator has changed something
     */
    void onRecordRead(StoreRecord record, boolean urgent);
  }
}
