package org.cactusseam.logic.query;

import org.cactusseam.model.ResultCode;
import org.cactusseam.model.control.ControlRecord;

/** What an order means for a configuration. */
public sealed interface Translation {

  /**
   * The order changes the configuration.
   *
   * @param change record to append to the control stream
   */
  record Changes(ControlRecord.Change change) implements Translation {}

  /**
   * The configuration is already as the order wants it; nothing is to be recorded.
   *
   * @param message text for people
   */
  record Unchanged(String message) implements Translation {}

  /**
   * The order cannot be carried out.
   *
   * @param code numbered reason
   * @param message text for people
   */
  record Refused(ResultCode code, String message) implements Translation {}
}
