package org.cactusseam.logic.query;

import org.cactusseam.model.ResultCode;
import org.cactusseam.model.control.ControlRecord;

/** What an order means for a configuration. */
public sealed interface OrderTranslation {

  /**
   * The order changes the configuration.
   *
   * @param change record to append to the control stream
   */
  record Changes(ControlRecord.Change change) implements OrderTranslation {}

  /**
   * The configuration is already as the order wants it; nothing is to be recorded.
   *
   * @param message text for people
   */
  record Unchanged(String message) implements OrderTranslation {}

  /**
   * The order cannot be carried out.
   *
   * @param code numbered reason
   * @param message text for people
   */
  record Refused(ResultCode code, String message) implements OrderTranslation {}
}
