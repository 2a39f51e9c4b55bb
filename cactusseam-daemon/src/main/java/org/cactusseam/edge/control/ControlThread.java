package org.cactusseam.edge.control;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

/** Runs tasks on the thread that owns all control state. */
public final class ControlThread {

  private final Context context;

  /**
   * Binds to the context of the caller.
   *
   * @param vertx event loops; the caller runs on the context to bind to
   */
  public ControlThread(Vertx vertx) {
    this.context = vertx.getOrCreateContext();
  }

  /**
   * Runs a task on the control thread, at once if the caller is on it.
   *
   * @param task task
   */
  public void run(Runnable task) {
    if (Vertx.currentContext() == context) {
      task.run();
    } else {
      context.runOnContext(ignored -> task.run());
    }
  }
}
