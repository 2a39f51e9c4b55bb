package org.cactusseam.standin.log;

import com.google.common.util.concurrent.RateLimiter;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.InvalidInputException;
import org.cactusseam.standin.Json;
import org.cactusseam.standin.StandIn;

/**
 * Simulated append-only log with named streams, long polling and retention. Records are kept in
 * memory only.
 */
public final class LogStandIn extends StandIn<LogFaults> {

  private static final Pattern STREAM_NAME = Pattern.compile("[A-Za-z0-9_.-]{1,63}");
  private static final long DEFAULT_READ_LIMIT = 1000;
  private static final long MAX_WAIT_MS = 60_000;
  private static final long RETENTION_CHECK_INTERVAL_MS = 20;
  private static final int MAX_RECORD_CHARACTERS = 4 << 20;
  private static final int TOO_LARGE = 413;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final Clock clock;
  private final Map<String, LogStream> streams = new HashMap<>();
  private final List<PendingRead> pendingReads = new ArrayList<>();
  private RateLimiter limiter = RateLimiter.create(Integer.MAX_VALUE);

  /** A long poll that waits for a record at or after an offset. */
  private record PendingRead(
      RoutingContext context, String stream, long from, long limit, long timer) {}

  /**
   * Creates an empty log that runs when it is deployed.
   *
   * @param endpoint address and ports to listen on
   * @param faults faults that apply from the start
   * @param clock supplies the timestamps of records
   */
  public LogStandIn(Endpoint endpoint, LogFaults faults, Clock clock) {
    super(endpoint, faults);
    this.clock = clock;
  }

  @Override
  protected void onStarted() {
    vertx.setPeriodic(
        RETENTION_CHECK_INTERVAL_MS, timer -> streams.values().forEach(this::applyRetention));
  }

  @Override
  protected void onFaultsChanged() {
    double rate = faults.current().appendsPerSecond();
    double effectiveRate = rate > 0 ? rate : Integer.MAX_VALUE;
    if (limiter.getRate() != effectiveRate) {
      limiter = RateLimiter.create(effectiveRate);
    }
    if (faults.current().outage()) {
      completePendingReads(pending -> true);
    }
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.route("/streams/:name/records").handler(this::checkAvailable);
    router.post("/streams/:name/records").handler(this::append);
    router.get("/streams/:name/records").handler(this::read);
  }

  private void checkAvailable(RoutingContext context) {
    if (!STREAM_NAME.matcher(context.pathParam("name")).matches()) {
      throw new InvalidInputException(
          "invalid stream name: 1 to 63 letters, digits or _ . - are allowed");
    }
    if (faults.current().outage()) {
      replyWithDelay(context, UNAVAILABLE, Json.object().put("error", "outage"));
    } else {
      context.next();
    }
  }

  private void append(RoutingContext context) {
    String name = context.pathParam("name");
    String value = bodyText(context);
    if (value.length() > MAX_RECORD_CHARACTERS) {
      replyError(context, TOO_LARGE, "record_too_large");
    } else if (!limiter.tryAcquire()) {
      replyWithDelay(context, TOO_MANY_REQUESTS, Json.object().put("error", "rate_limited"));
    } else if (faults.consumeOccurrence("fail_appends", LogFaults::failAppends)) {
      replyWithDelay(context, 500, Json.object().put("error", "append_failed"));
    } else if (faults.consumeOccurrence("late_appends", LogFaults::lateAppends)) {
      runAfter(faults.current().lateAppendMs(), () -> write(name, value));
      context.response().reset();
    } else {
      boolean lost = faults.consumeOccurrence("lose_append_answers", LogFaults::loseAppendAnswers);
      long offset = write(name, value);
      replyToAppend(context, offset, lost);
    }
  }

  private void replyToAppend(RoutingContext context, long offset, boolean lost) {
    if (lost) {
      runAfter(faults.current().slowMs(), () -> context.response().reset());
    } else {
      replyWithDelay(context, 200, Json.object().put("offset", offset));
    }
  }

  private long write(String name, String value) {
    LogStream stream = stream(name);
    long offset = stream.append(value, clock.millis());
    applyRetention(stream);
    completePendingReads(pending -> pending.stream.equals(name) && pending.from < stream.end());
    return offset;
  }

  private void read(RoutingContext context) {
    String name = context.pathParam("name");
    long from = parseQueryNumber(context, "from", 0);
    long limit = parseQueryNumber(context, "limit", DEFAULT_READ_LIMIT);
    long waitMs = Math.min(MAX_WAIT_MS, parseQueryNumber(context, "wait_ms", 0));
    if (from < stream(name).end() || waitMs == 0) {
      replyToRead(context, name, from, limit);
      return;
    }
    long timer =
        vertx.setTimer(waitMs, fired -> completePendingReads(pending -> pending.timer == fired));
    pendingReads.add(new PendingRead(context, name, from, limit, timer));
    context.response().closeHandler(closed -> removePendingRead(timer));
  }

  private void removePendingRead(long timer) {
    vertx.cancelTimer(timer);
    pendingReads.removeIf(pending -> pending.timer == timer);
  }

  private void completePendingReads(Predicate<PendingRead> condition) {
    List<PendingRead> released = pendingReads.stream().filter(condition).toList();
    pendingReads.removeAll(released);
    for (PendingRead pending : released) {
      vertx.cancelTimer(pending.timer);
      if (faults.current().outage()) {
        replyError(pending.context, UNAVAILABLE, "outage");
      } else {
        replyToRead(pending.context, pending.stream, pending.from, pending.limit);
      }
    }
  }

  private void replyToRead(RoutingContext context, String name, long from, long limit) {
    replyWithDelay(context, 200, stream(name).read(from, limit));
  }

  private void replyWithDelay(RoutingContext context, int status, Object body) {
    runAfter(faults.current().slowMs(), () -> reply(context, status, body));
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(name, created -> new LogStream());
  }

  private void applyRetention(LogStream stream) {
    stream.applyRetention(
        clock.millis(), faults.current().retentionMs(), faults.current().retentionRecords());
  }
}
