package org.cactusseam.logic.orders;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.OrderOutcome;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.control.ServerOrder;
import org.cactusseam.model.control.SnapshotEntry;

/**
 * Immutable view of the orders in the control log. Daemons that have applied the same records have
 * equal views.
 *
 * @param entries orders, in the sequence of their log offsets
 */
public record OrderView(List<Entry> entries) {

  /** View without orders, as before the first record. */
  public static final OrderView EMPTY = new OrderView(List.of());

  /** Maximum number of orders kept; the oldest order that has ended is removed first. */
  public static final int MAXIMUM_ENTRIES = 1_000;

  /**
   * An order and its progress.
   *
   * @param offset log offset of the order, which is also its fencing number
   * @param commandId identity of the operator's command
   * @param server backend server that executes the order
   * @param order requested change
   * @param start last record of a send, empty if the order was never sent
   * @param outcome outcome, empty while the order is open
   */
  public record Entry(
      long offset,
      String commandId,
      BackendServerName server,
      ServerOrder order,
      Optional<Start> start,
      Optional<OrderOutcome> outcome) {

    /**
     * Restores an order from a snapshot.
     *
     * @param snapshot snapshot entry of the order
     * @return restored order
     */
    public static Entry of(SnapshotEntry.Order snapshot) {
      OrderRecord.Issued issued = snapshot.issued();
      return new Entry(
          snapshot.offset(),
          issued.commandId(),
          issued.server(),
          issued.order(),
          snapshot.started().map(each -> new Start(each.by(), each.boot(), each.attempt())),
          snapshot.outcome());
    }

    /**
     * Converts this order to a snapshot entry.
     *
     * @return snapshot entry, without the name of the operator
     */
    public SnapshotEntry toSnapshot() {
      return new SnapshotEntry.Order(
          offset,
          new OrderRecord.Issued(commandId, server, order, ""),
          start.map(
              each -> new OrderRecord.Started(offset, each.by(), each.boot(), each.attempt())),
          outcome);
    }

    /**
     * Returns whether the server was removed after the order may have been sent. Such an order is
     * not sent again, but its result is still awaited.
     *
     * @return true if a later {@link OrderRecord.Ended} record replaces the outcome
     */
    public boolean awaitsResultOnly() {
      return outcome.equals(Optional.of(OrderOutcome.SERVER_REMOVED_AFTER_START));
    }

    Entry withStart(Start newStart) {
      return new Entry(offset, commandId, server, order, Optional.of(newStart), outcome);
    }

    Entry withOutcome(OrderOutcome newOutcome) {
      return new Entry(offset, commandId, server, order, start, Optional.of(newOutcome));
    }
  }

  /**
   * Record that an owner is about to send an order.
   *
   * @param by daemon that sends the order
   * @param boot identity of the daemon process
   * @param attempt sequence number of the send within the daemon process
   */
  public record Start(NodeName by, String boot, long attempt) {}

  /** Creates a view with an immutable copy of the orders. */
  public OrderView {
    entries = List.copyOf(entries);
  }

  /**
   * Applies a record of the control log.
   *
   * @param offset log offset of the record
   * @param orderRecord record to apply
   * @return updated view, or empty if the record is rejected because it refers to no open order or
   *     because too many orders are open
   */
  public Optional<OrderView> apply(long offset, OrderRecord orderRecord) {
    return switch (orderRecord) {
      case OrderRecord.Issued issued -> addOrder(offset, issued);
      case OrderRecord.Started started -> {
        Start start = new Start(started.by(), started.boot(), started.attempt());
        yield findOpen(started.order()).map(entry -> replace(entry.withStart(start)));
      }
      case OrderRecord.Ended ended ->
          find(ended.order())
              .filter(entry -> entry.outcome().isEmpty() || entry.awaitsResultOnly())
              .map(entry -> replace(entry.withOutcome(ended.outcome())));
    };
  }

  /**
   * Ends the open orders to a removed server, so that none stays open forever and none is sent to a
   * new server of the same name.
   *
   * @param server removed backend server
   * @return updated view
   */
  public OrderView withServerRemoved(BackendServerName server) {
    return new OrderView(
        entries.stream()
            .map(
                entry ->
                    entry.server().equals(server) && entry.outcome().isEmpty()
                        ? entry.withOutcome(removalOutcome(entry))
                        : entry)
            .toList());
  }

  private static OrderOutcome removalOutcome(Entry entry) {
    return entry.start().isPresent()
        ? OrderOutcome.SERVER_REMOVED_AFTER_START
        : OrderOutcome.SERVER_REMOVED;
  }

  private Optional<OrderView> addOrder(long offset, OrderRecord.Issued issued) {
    List<Entry> updated = new ArrayList<>(entries);
    if (updated.size() >= MAXIMUM_ENTRIES) {
      Optional<Entry> oldest =
          updated.stream().filter(entry -> entry.outcome().isPresent()).findFirst();
      if (oldest.isEmpty()) {
        return Optional.empty();
      }
      updated.remove(oldest.get());
    }
    updated.add(
        new Entry(
            offset,
            issued.commandId(),
            issued.server(),
            issued.order(),
            Optional.empty(),
            Optional.empty()));
    return Optional.of(new OrderView(updated));
  }

  private OrderView replace(Entry changed) {
    return new OrderView(
        entries.stream()
            .map(entry -> entry.offset() == changed.offset() ? changed : entry)
            .toList());
  }

  private Optional<Entry> findOpen(long offset) {
    return find(offset).filter(entry -> entry.outcome().isEmpty());
  }

  /**
   * Finds an order by its log offset.
   *
   * @param offset log offset of the order
   * @return the order, or empty if it does not exist or was removed because of its age
   */
  public Optional<Entry> find(long offset) {
    return entries.stream().filter(entry -> entry.offset() == offset).findFirst();
  }

  /**
   * Returns the next order for a backend server. The orders to a server are executed one at a time
   * in log order, so that their fencing numbers increase.
   *
   * @param server backend server
   * @return oldest open order to the server
   */
  public Optional<Entry> next(BackendServerName server) {
    return entries.stream()
        .filter(entry -> entry.server().equals(server) && entry.outcome().isEmpty())
        .findFirst();
  }
}
