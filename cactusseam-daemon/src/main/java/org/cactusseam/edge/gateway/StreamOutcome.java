package org.cactusseam.edge.gateway;

import java.time.Instant;
import org.cactusseam.model.gateway.GatewayRoute;
import org.cactusseam.model.gateway.ServerInstance;
import org.jspecify.annotations.Nullable;

/** What one run of a stream shows about the version of its server. */
final class StreamOutcome {

  /** Events whose time is measured, counted from the first one. Nearly every stream has as many. */
  private static final int MEASURED_EVENTS = 9;

  private static final int STATUS_SERVER_ERROR = 500;

  private final Gateway gateway;
  private final GatewayRoute route;
  private final ServerInstance server;
  private final boolean isWholeRun;
  private final Instant startedAt;
  private @Nullable Instant firstEventAt;
  private int events;
  private boolean hasFailed;

  /**
   * Creates the outcome of a run that starts now.
   *
   * @param isWholeRun whether the run starts at the first event, not from a copy
   */
  StreamOutcome(Gateway gateway, GatewayRoute route, ServerInstance server, boolean isWholeRun) {
    this.gateway = gateway;
    this.route = route;
    this.server = server;
    this.isWholeRun = isWholeRun;
    this.startedAt = gateway.clock().instant();
  }

  void recordEvent(Instant now) {
    events++;
    if (firstEventAt == null) {
      firstEventAt = now;
      if (isWholeRun) {
        record(Rollouts.Outcome.SUCCESS);
      }
    } else if (events == 1 + MEASURED_EVENTS) {
      gateway.rollouts().recordEvents(route, server, firstEventAt);
    }
  }

  void recordFailure() {
    if (!hasFailed) {
      hasFailed = true;
      record(Rollouts.Outcome.FAILURE);
    }
  }

  void recordError(int status) {
    if (status >= STATUS_SERVER_ERROR) {
      recordFailure();
    } else if (isWholeRun) {
      record(Rollouts.Outcome.SUCCESS);
    }
  }

  void recordAborted() {
    if (firstEventAt == null) {
      record(Rollouts.Outcome.ABORTED);
    }
  }

  private void record(Rollouts.Outcome outcome) {
    gateway.rollouts().recordOutcome(route, server, outcome, startedAt);
  }
}
