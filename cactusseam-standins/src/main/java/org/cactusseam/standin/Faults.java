package org.cactusseam.standin;

/** Faults that every stand-in has. Implemented by records whose components are the settings. */
public interface Faults {

  /**
   * Tells whether requests to the service get no answer until this is false again.
   *
   * @return true if the service hangs
   */
  boolean hang();

  /**
   * Returns how long new connections are refused from the time when the fault is set. Connections
   * that are open stay open.
   *
   * @return milliseconds; 0 if connections are accepted
   */
  long refuseConnectionsMs();
}
