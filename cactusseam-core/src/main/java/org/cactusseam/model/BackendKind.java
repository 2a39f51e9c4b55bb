package org.cactusseam.model;

/** Protocol that a backend server speaks. */
public enum BackendKind {
  /** Model engine that streams tokens and can resume and cancel streams. */
  ENGINE,
  /** Plain HTTP service with one answer for each request. */
  PLAIN
}
