package org.cactusseam.standin;

/**
 * Faults that every stand-in supports. Implementations are records whose components are the fault
 * settings of one kind of stand-in.
 */
public interface Faults {

  /**
   * Returns whether the service accepts requests but holds them unanswered until this setting is
   * false again.
   *
   * @return true if the service hangs
   */
  boolean hang();

  /**
   * Returns how long new connections are refused, counted from the moment at which the fault is
   * set. Established connections stay open.
   *
   * @return duration in milliseconds; 0 if connections are accepted
   */
  long refuseConnectionsMs();
}
