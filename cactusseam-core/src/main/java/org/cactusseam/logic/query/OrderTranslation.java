package org.cactusseam.logic.query;

import org.cactusseam.model.ResultCode;
import org.cactusseam.model.control.ControlRecord;

/** Result of translating a configuration order. */
public sealed interface OrderTranslation {

  /**
   * The order changes the configuration.
   *
   * @param change record to append to the control stream
   */
  record Changes(ControlRecord.Change change) implements OrderTranslation {}

  /**
   * The order is already in effect; no record is needed.
   *
   * @param message message for the operator
   */
  record Unchanged(String message) implements OrderTranslation {}

  /**
   * The order is invalid or conflicts with the current configuration.
   *
   * @param code result code
   * @param message reason for the operator
   */
  record Refused(ResultCode code, String message) implements OrderTranslation {}
}
