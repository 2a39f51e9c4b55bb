package org.cactusseam.edge;

import org.cactusseam.edge.logging.StructuredLog;

/**
 * Runs one part of a loop that must go on whatever happens in that part: a record among others, or
 * a step of the periodic work. Without it, a failure of one part keeps back all later ones, and a
 * failure before the next iteration is scheduled ends the loop for good.
 */
public final class IsolatedAction {

  private IsolatedAction() {}

  /**
   * Runs an action and logs what it throws. Errors of the runtime are included: a stack that
   * overflows or memory that runs out in one part says nothing about the next one.
   *
   * @param log log of the loop
   * @param event name of the event that is logged if the action throws
   * @param part part of the loop, which is logged with the event
   * @param action action to run
   * @return whether the action completed
   */
  public static boolean run(
      StructuredLog log, String event, StructuredLog.Field part, Runnable action) {
    try {
      action.run();
      return true;
    } catch (Throwable e) {
      log.error(event, part, StructuredLog.field("cause", e));
      return false;
    }
  }
}
