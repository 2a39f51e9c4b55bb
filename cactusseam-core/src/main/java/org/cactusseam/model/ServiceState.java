package org.cactusseam.model;

/** Whether operators allow new work on a failure domain or a backend server. */
public enum ServiceState {
  /** New work may be sent. */
  IN,
  /** No new work is sent; running requests are completed. */
  OUT
}
