package org.cactusseam.edge.caller;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.metrics.RequestMetrics;
import org.cactusseam.edge.metrics.RequestRecorder;
import org.cactusseam.model.Refusal;

/** Measures and logs one request, so that its handlers need not. */
final class RequestTelemetry {

  private static final StructuredLog LOG = StructuredLog.of(RequestTelemetry.class);

  private static final long NO_TOKEN = Long.MIN_VALUE;

  private final Clock clock;
  private final RequestInfo info;
  private final RequestRecorder recorder;
  private final StructuredLog log;

  /** A number, because an object for each token would cost time in every collection. */
  private long previousTokenNanos = NO_TOKEN;

  private boolean permitted;

  RequestTelemetry(Clock clock, RequestMetrics metrics, RequestInfo info) {
    this.clock = clock;
    this.info = info;
    this.recorder = metrics.recorder(info.account().name(), info.account().priorityClass());
    this.log = LOG.forRequest(info.id());
  }

  void sent(String server) {
    if (!permitted) {
      permitted = true;
      recorder.recordWait(Duration.between(info.arrival(), clock.instant()));
    }
    log.debug("attempt_sent", field("server", server));
  }

  /**
   * The request has been written to the connection. A process that is paused between its last look
   * at the permit and that write sends late, which it can see only afterwards.
   */
  void written(String server, Instant validUntil) {
    Instant now = clock.instant();
    if (now.isAfter(validUntil)) {
      log.warn(
          "request_sent_late",
          field("server", server),
          field("permit_expired_ms", Duration.between(validUntil, now).toMillis()));
    }
  }

  void token() {
    long sinceArrival = Duration.between(info.arrival(), clock.instant()).toNanos();
    if (previousTokenNanos == NO_TOKEN) {
      recorder.recordFirstToken(Duration.ofNanos(sinceArrival));
    } else {
      recorder.recordNextToken(Duration.ofNanos(sinceArrival - previousTokenNanos));
    }
    previousTokenNanos = sinceArrival;
  }

  void ended(long tokens, String end) {
    recorder.recordEnd(tokens);
    log.info(
        "request_ended",
        field("account", info.account().name()),
        field("route", info.route().name()),
        field("end", end),
        field("tokens", tokens),
        field("millis", Duration.between(info.arrival(), clock.instant()).toMillis()));
  }

  void refused(Refusal refusal) {
    recorder.recordRefusal(refusal.code());
    log.info(
        "request_refused",
        field("account", info.account().name()),
        field("route", info.route().name()),
        field("code", refusal.code().number()),
        field("name", refusal.code()),
        field("detail", refusal.detail()));
  }
}
