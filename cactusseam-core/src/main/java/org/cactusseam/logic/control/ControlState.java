package org.cactusseam.logic.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.logic.orders.OrderBook;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.OrderRecord;

/**
 * State machine over the control log. It is deterministic: nodes that applied the same records hold
 * the same configuration and membership, which lets the log arbitrate between operators without a
 * leader.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ControlState {

  private final Map<String, Verdict> commands = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Membership membership = Membership.EMPTY;
  private OrderBook orders = OrderBook.EMPTY;
  private long nextOffset;

  /**
   * Applies the record at an offset.
   *
   * @param offset log offset, not below {@link #nextOffset()}
   * @param record record
   * @return what was decided
   */
  public Verdict apply(long offset, ControlRecord record) {
    if (offset < nextOffset) {
      return Verdict.DUPLICATE;
    }
    nextOffset = offset + 1;
    return switch (record) {
      case ControlRecord.Change change -> applyChange(offset, change);
      case ControlRecord.Join join -> applyJoin(offset, join);
      case ControlRecord.Activate activate -> applyActivate(activate);
      case ControlRecord.Leave leave -> applyRemoval(leave.node(), leave.boot());
      case ControlRecord.Expel expel -> applyRemoval(expel.node(), expel.boot());
      case OrderRecord order -> applyOrder(offset, order);
    };
  }

  private Verdict applyOrder(long offset, OrderRecord order) {
    if (order instanceof OrderRecord.Issued issued && commands.containsKey(issued.commandId())) {
      return Verdict.DUPLICATE;
    }
    Optional<OrderBook> next = orders.apply(offset, order);
    Verdict verdict = next.isPresent() ? Verdict.ACCEPTED : Verdict.INVALID;
    if (order instanceof OrderRecord.Issued issued) {
      commands.put(issued.commandId(), verdict);
    }
    orders = next.orElse(orders);
    return verdict;
  }

  private Verdict applyChange(long offset, ControlRecord.Change change) {
    if (commands.containsKey(change.commandId())) {
      return Verdict.DUPLICATE;
    }
    Verdict verdict = judge(change);
    commands.put(change.commandId(), verdict);
    if (verdict == Verdict.ACCEPTED) {
      configuration =
          change
              .value()
              .map(value -> configuration.with(value, offset))
              .orElseGet(() -> configuration.without(change.key(), offset));
    }
    return verdict;
  }

  private Verdict judge(ControlRecord.Change change) {
    boolean exists = configuration.find(change.key()).isPresent();
    long revision =
        exists ? configuration.revision(change.key()).orElseThrow() : ControlRecord.ABSENT_REVISION;
    if (revision != change.expectedRevision()) {
      return Verdict.CONFLICT;
    }
    boolean keyMatches =
        change.value().map(value -> value.key().equals(change.key())).orElse(exists);
    return keyMatches ? Verdict.ACCEPTED : Verdict.INVALID;
  }

  private Verdict applyJoin(long offset, ControlRecord.Join join) {
    boolean firstOfRegion =
        membership.active().stream()
            .noneMatch(member -> member.region().equals(join.member().region()));
    membership = membership.with(new Membership.Entry(join.member(), offset, firstOfRegion));
    return Verdict.ACCEPTED;
  }

  private Verdict applyActivate(ControlRecord.Activate activate) {
    Optional<Membership.Entry> entry = entry(activate.node(), activate.boot());
    entry.ifPresent(
        found ->
            membership =
                membership.with(new Membership.Entry(found.member(), found.joinedAt(), true)));
    return entry.isPresent() ? Verdict.ACCEPTED : Verdict.INVALID;
  }

  private Verdict applyRemoval(NodeName node, String boot) {
    if (entry(node, boot).isEmpty()) {
      return Verdict.INVALID;
    }
    membership = membership.without(node);
    return Verdict.ACCEPTED;
  }

  private Optional<Membership.Entry> entry(NodeName node, String boot) {
    return membership.find(node).filter(entry -> entry.member().boot().equals(boot));
  }

  /**
   * Returns what was decided about an operator's command.
   *
   * @param commandId identity of the command
   * @return the verdict, or empty if the command was not seen
   */
  public Optional<Verdict> verdict(String commandId) {
    return Optional.ofNullable(commands.get(commandId));
  }

  /**
   * Returns the current configuration.
   *
   * @return immutable view
   */
  public Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the current membership.
   *
   * @return immutable view
   */
  public Membership membership() {
    return membership;
  }

  /**
   * Returns the orders to backend servers.
   *
   * @return immutable view
   */
  public OrderBook orders() {
    return orders;
  }

  /**
   * Returns the offset of the next record to apply.
   *
   * @return log offset
   */
  public long nextOffset() {
    return nextOffset;
  }
}
