package org.cactusseam.model;

/** Protocol that a backend server speaks. */
public enum BackendKind {
  /** Model engine that streams tokens and supports resuming and cancelling streams. */
  ENGINE,
  /** Plain HTTP service with one response for each request. */
  PLAIN
}
