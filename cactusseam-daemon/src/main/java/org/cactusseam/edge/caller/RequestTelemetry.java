package org.cactusseam.edge.caller;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.metrics.RequestMetrics;
import org.cactusseam.edge.metrics.RequestRecorder;
import org.cactusseam.model.Refusal;

/** Records the metrics and log events of one request. */
final class RequestTelemetry {

  private static final StructuredLog LOG = StructuredLog.of(RequestTelemetry.class);

  private static final long NO_TOKEN = Long.MIN_VALUE;

  private final Clock clock;
  private final RequestInfo info;
  private final RequestRecorder recorder;
  private final StructuredLog log;

  /**
   * Time from arrival to the previous token. A primitive, because an object for each token would
   * add to garbage collection.
   */
  private long previousTokenNanos = NO_TOKEN;

  private boolean waitRecorded;

  RequestTelemetry(Clock clock, RequestMetrics metrics, RequestInfo info) {
    this.clock = clock;
    this.info = info;
    this.recorder = metrics.recorder(info.account().name(), info.account().priorityClass());
    this.log = LOG.forRequest(info.id());
  }

  void recordSent(String server) {
    if (!waitRecorded) {
      waitRecorded = true;
      recorder.recordWait(Duration.between(info.arrival(), clock.instant()));
    }
    log.debug("attempt_sent", field("server", server));
  }

  /**
   * Logs a warning if the request was written after its permit had expired. This happens when the
   * process is paused between the check of the permit and the write, and is detectable only
   * afterwards.
   */
  void recordWritten(String server, Instant validUntil) {
    Instant now = clock.instant();
    if (now.isAfter(validUntil)) {
      log.warn(
          "request_sent_late",
          field("server", server),
          field("permit_expired_ms", Duration.between(validUntil, now).toMillis()));
    }
  }

  void recordToken() {
    long sinceArrival = Duration.between(info.arrival(), clock.instant()).toNanos();
    if (previousTokenNanos == NO_TOKEN) {
      recorder.recordFirstToken(Duration.ofNanos(sinceArrival));
    } else {
      recorder.recordNextToken(Duration.ofNanos(sinceArrival - previousTokenNanos));
    }
    previousTokenNanos = sinceArrival;
  }

  void recordEnd(long tokens, String end) {
    recorder.recordEnd(tokens);
    log.info(
        "request_ended",
        field("account", info.account().name()),
        field("route", info.route().name()),
        field("end", end),
        field("tokens", tokens),
        field("millis", Duration.between(info.arrival(), clock.instant()).toMillis()));
  }

  void recordRefusal(Refusal refusal) {
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
