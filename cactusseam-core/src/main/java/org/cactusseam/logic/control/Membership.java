package org.cactusseam.logic.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.control.Member;

/**
 * Immutable view of the entry daemons that the control log knows.
 *
 * @param entries members in the order of their records
 */
public record Membership(List<Entry> entries) {

  /** View without members. */
  public static final Membership EMPTY = new Membership(List.of());

  /**
   * A member with its state.
   *
   * @param member description of the run
   * @param joinedAt log offset of its {@code Join}
   * @param active whether it may own shards
   */
  public record Entry(Member member, long joinedAt, boolean active) {}

  /** Copies the list. */
  public Membership {
    entries = List.copyOf(entries);
  }

  /**
   * Looks up a member by name.
   *
   * @param node entry daemon
   * @return its entry, or empty
   */
  public Optional<Entry> find(NodeName node) {
    return entries.stream().filter(entry -> entry.member().node().equals(node)).findFirst();
  }

  /**
   * Returns the members that may own shards.
   *
   * @return active members
   */
  public List<Member> active() {
    return entries.stream().filter(Entry::active).map(Entry::member).toList();
  }

  /**
   * Returns a copy with one entry added, or replaced if the node is present.
   *
   * @param entry new entry
   * @return the copy
   */
  Membership with(Entry entry) {
    List<Entry> copy = new ArrayList<>(without(entry.member().node()).entries);
    copy.add(entry);
    return new Membership(copy);
  }

  /**
   * Returns a copy without a node.
   *
   * @param node entry daemon
   * @return the copy
   */
  Membership without(NodeName node) {
    return new Membership(
        entries.stream().filter(entry -> !entry.member().node().equals(node)).toList());
  }
}
