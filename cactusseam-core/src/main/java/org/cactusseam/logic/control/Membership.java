package org.cactusseam.logic.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;
import org.cactusseam.model.control.Member;
import org.cactusseam.model.control.MemberState;
import org.cactusseam.model.control.RunId;

/**
 * Immutable view of the entry daemons that have joined according to the control log.
 *
 * @param entries members in the order of their last records
 */
public record Membership(List<Entry> entries) {

  /** View without members. */
  public static final Membership EMPTY = new Membership(List.of());

  /**
   * A member with its state in the view.
   *
   * @param member description of the run
   * @param joinedAt log offset of its {@code Join}
   * @param state state of the run
   */
  public record Entry(Member member, long joinedAt, MemberState state) {

    /**
     * Tells whether the run may own shards.
     *
     * @return true if it is active
     */
    public boolean active() {
      return state == MemberState.ACTIVE;
    }

    /**
     * Tells whether the run may act as an owner of shards. A suspended run may not have read its
     * suspension yet.
     *
     * @return true if it is active or suspended
     */
    public boolean mayActAsOwner() {
      return state != MemberState.JOINED;
    }

    /**
     * Returns the identity of the run.
     *
     * @return node name and boot identity
     */
    public RunId run() {
      return RunId.of(member);
    }
  }

  /** Copies the list. */
  public Membership {
    entries = List.copyOf(entries);
  }

  /**
   * Looks up a member by name.
   *
   * @param node entry daemon
   * @return its entry, or empty if it is not a member
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
   * Looks up a run.
   *
   * @param run run of an entry daemon
   * @return its entry, or empty if the node is not a member or is one with another run
   */
  public Optional<Entry> find(RunId run) {
    return find(run.node()).filter(entry -> entry.run().equals(run));
  }

  /**
   * Returns the members of a region in any state.
   *
   * @param region region of the members
   * @return entries in the order of their records
   */
  public List<Entry> inRegion(RegionName region) {
    return entries.stream().filter(entry -> entry.member().region().equals(region)).toList();
  }

  /**
   * Returns the regions with a run that may act as an owner. The shards of such a region do not
   * move to another region.
   *
   * @return regions in name order
   */
  public SortedSet<RegionName> occupiedRegions() {
    SortedSet<RegionName> regions = new TreeSet<>();
    for (Entry entry : entries) {
      if (entry.mayActAsOwner()) {
        regions.add(entry.member().region());
      }
    }
    return regions;
  }

  /**
   * Returns a copy with one entry added at the end; an earlier entry of the same node is removed.
   *
   * @param entry entry to add
   * @return changed copy
   */
  Membership with(Entry entry) {
    List<Entry> copy = new ArrayList<>(without(entry.member().node()).entries);
    copy.add(entry);
    return new Membership(copy);
  }

  /**
   * Returns a copy without a node.
   *
   * @param node entry daemon to remove, which may be absent
   * @return changed copy
   */
  Membership without(NodeName node) {
    return new Membership(
        entries.stream().filter(entry -> !entry.member().node().equals(node)).toList());
  }
}
