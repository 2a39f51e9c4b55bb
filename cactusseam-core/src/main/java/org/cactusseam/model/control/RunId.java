package org.cactusseam.model.control;

import org.cactusseam.model.NodeName;

/**
 * Identity of one run of an entry daemon, from its start or rejoin to its end.
 *
 * @param node name of the entry daemon
 * @param boot boot identity; later runs of the same node have a lexicographically greater one
 */
public record RunId(NodeName node, String boot) implements Comparable<RunId> {

  /**
   * Returns the run identity of a member.
   *
   * @param member description of a run
   * @return identity of that run
   */
  public static RunId of(Member member) {
    return new RunId(member.node(), member.boot());
  }

  @Override
  public int compareTo(RunId other) {
    int byNode = node.compareTo(other.node);
    return byNode != 0 ? byNode : boot.compareTo(other.boot);
  }

  @Override
  public String toString() {
    return node + "/" + boot;
  }
}
