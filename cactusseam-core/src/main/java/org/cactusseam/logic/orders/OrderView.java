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
 * Immutable view of the orders that the control log holds. Nodes that applied the same records hold
 * the same view.
 *
 * @param entries orders by offset
 */
public record OrderView(List<Entry> entries) {

  /** View without orders. */
  public static final OrderView EMPTY = new OrderView(List.of());

  /** Bound on the orders kept; the oldest that are over are forgotten first. */
  public static final int MAXIMUM_ENTRIES = 1_000;

  /**
   * An order.
   *
   * @param offset log offset, which is also its fencing number
   * @param commandId identity of the operator's command
   * @param server backend server
   * @param order what the server shall do
   * @param start last announcement that it is sent
   * @param outcome how it ended
   */
  public record Entry(
      long offset,
      String commandId,
      BackendServerName server,
      ServerOrder order,
      Optional<Start> start,
      Optional<OrderOutcome> outcome) {

    /**
     * Reads an order from a snapshot.
     *
     * @param snapshot entry of the snapshot
     * @return the order
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
     * Writes this order for a snapshot.
     *
     * @return entry of the snapshot; the name of the operator is not kept
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
     * Tells whether the server was removed when the order may have been under way, so that only its
     * result is still of interest.
     *
     * @return true if a later end replaces the outcome
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
   * Announcement that an order is sent.
   *
   * @param by owner
   * @param boot identity of the owner's run
   * @param attempt number of the send within the run
   */
  public record Start(NodeName by, String boot, long attempt) {}

  /** Copies the list. */
  public OrderView {
    entries = List.copyOf(entries);
  }

  /**
   * Applies a record.
   *
   * @param offset log offset of the record
   * @param orderRecord record
   * @return the next view, or empty if the record is rejected: it names no open order, or too many
   *     orders are open
   */
  public Optional<OrderView> apply(long offset, OrderRecord orderRecord) {
    return switch (orderRecord) {
      case OrderRecord.Issued issued -> issue(offset, issued);
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
   * Ends the open orders to a server that was removed, so that none stays open forever and none
   * reaches a later server of the same name.
   *
   * @param server removed server
   * @return the next view
   */
  public OrderView serverRemoved(BackendServerName server) {
    return new OrderView(
        entries.stream()
            .map(
                entry ->
                    entry.server().equals(server) && entry.outcome().isEmpty()
                        ? entry.withOutcome(outcomeOfRemoval(entry))
                        : entry)
            .toList());
  }

  private static OrderOutcome outcomeOfRemoval(Entry entry) {
    return entry.start().isPresent()
        ? OrderOutcome.SERVER_REMOVED_AFTER_START
        : OrderOutcome.SERVER_REMOVED;
  }

  private Optional<OrderView> issue(long offset, OrderRecord.Issued issued) {
    List<Entry> copy = new ArrayList<>(entries);
    if (copy.size() >= MAXIMUM_ENTRIES) {
      Optional<Entry> oldest =
          copy.stream().filter(entry -> entry.outcome().isPresent()).findFirst();
      if (oldest.isEmpty()) {
        return Optional.empty();
      }
      copy.remove(oldest.get());
    }
    copy.add(
        new Entry(
            offset,
            issued.commandId(),
            issued.server(),
            issued.order(),
            Optional.empty(),
            Optional.empty()));
    return Optional.of(new OrderView(copy));
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
   * Looks up an order.
   *
   * @param offset log offset of the order
   * @return the order, or empty if it does not exist or was forgotten
   */
  public Optional<Entry> find(long offset) {
    return entries.stream().filter(entry -> entry.offset() == offset).findFirst();
  }

  /**
   * Returns the order that a backend server has to execute next. Orders to one server run one after
   * the other in log order, so that their fencing numbers ascend.
   *
   * @param server backend server
   * @return its oldest open order
   */
  public Optional<Entry> next(BackendServerName server) {
    return entries.stream()
        .filter(entry -> entry.server().equals(server) && entry.outcome().isEmpty())
        .findFirst();
  }
}
