package org.cactusseam.edge.control;

import io.vertx.core.Context;
import io.vertx.core.Vertx;

/** Runs tasks on the event loop to which all control state is confined. */
public final class ControlThread {

  private final Context context;

  /**
   * Binds to the context of the calling thread.
   *
   * @param vertx event loops; the calling thread has to be the one to bind to
   */
  public ControlThread(Vertx vertx) {
    this.context = vertx.getOrCreateContext();
  }

  /**
   * Runs a task on the control thread; immediately if the calling thread is on it.
   *
   * @param task task to run
   */
  public void run(Runnable task) {
    if (Vertx.currentContext() == context) {
      task.run();
    } else {
      context.runOnContext(ignored -> task.run());
    }
  }
}
