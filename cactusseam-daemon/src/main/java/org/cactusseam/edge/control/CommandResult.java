package org.cactusseam.edge.control;

import java.util.Optional;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.model.ResultCode;

/**
 * Result of an operator's command.
 *
 * @param code numbered result
 * @param message explanation for the operator; empty if there is none
 * @param table rows that a query returned; empty for other commands
 */
public record CommandResult(ResultCode code, String message, Optional<ResultTable> table) {

  static CommandResult of(ResultCode code, String message) {
    return new CommandResult(code, message, Optional.empty());
  }
}
