package org.cactusseam.model;

/** Whether operators let new work reach a failure domain or a backend server. */
public enum ServiceState {
  /** New work may be sent. */
  IN,
  /** No new work is sent; running work ends by itself. */
  OUT
}
