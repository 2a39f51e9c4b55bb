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

/** Simulated append-only log with named streams. */
public final class LogStandIn extends StandIn<LogFaults> {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.-]{1,63}");
  private static final long DEFAULT_LIMIT = 1000;
  private static final long LONGEST_WAIT_MS = 60_000;
  private static final long RETENTION_CHECK_MS = 20;
  private static final int LARGEST_RECORD_CHARACTERS = 4 << 20;
  private static final int TOO_LARGE = 413;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final Clock clock;
  private final Map<String, LogStream> streams = new HashMap<>();
  private final List<Waiter> waiters = new ArrayList<>();
  private RateLimiter limiter = RateLimiter.create(Integer.MAX_VALUE);

  /** A read that waits for a record. */
  private record Waiter(RoutingContext context, String stream, long from, long limit, long timer) {}

  /**
   * Creates an empty log; it runs after its deployment.
   *
   * @param endpoint where it listens
   * @param faults faults in force from the start
   * @param clock source of the time of records
   */
  public LogStandIn(Endpoint endpoint, LogFaults faults, Clock clock) {
    super(endpoint, faults);
    this.clock = clock;
  }

  @Override
  protected void started() {
    vertx.setPeriodic(RETENTION_CHECK_MS, timer -> streams.values().forEach(this::retain));
  }

  @Override
  protected void faultsChanged() {
    double rate = faults.current().appendsPerSecond();
    double effectiveRate = rate > 0 ? rate : Integer.MAX_VALUE;
    if (limiter.getRate() != effectiveRate) {
      limiter = RateLimiter.create(effectiveRate);
    }
    if (faults.current().outage()) {
      releaseWaiters(waiter -> true);
    }
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.route("/streams/:name/records").handler(this::checkAvailable);
    router.post("/streams/:name/records").handler(this::append);
    router.get("/streams/:name/records").handler(this::read);
  }

  private void checkAvailable(RoutingContext context) {
    if (!NAME.matcher(context.pathParam("name")).matches()) {
      throw new InvalidInputException("invalid name of a stream");
    }
    if (faults.current().outage()) {
      replySlowly(context, UNAVAILABLE, Json.object().put("error", "outage"));
    } else {
      context.next();
    }
  }

  private void append(RoutingContext context) {
    String name = context.pathParam("name");
    String value = bodyText(context);
    if (value.length() > LARGEST_RECORD_CHARACTERS) {
      replyError(context, TOO_LARGE, "record_too_large");
    } else if (!limiter.tryAcquire()) {
      replySlowly(context, TOO_MANY_REQUESTS, Json.object().put("error", "rate_limited"));
    } else if (faults.consume("fail_appends", LogFaults::failAppends)) {
      replySlowly(context, 500, Json.object().put("error", "append_failed"));
    } else if (faults.consume("late_appends", LogFaults::lateAppends)) {
      after(faults.current().lateAppendMs(), () -> write(name, value));
      context.response().reset();
    } else {
      boolean lost = faults.consume("lose_append_answers", LogFaults::loseAppendAnswers);
      long offset = write(name, value);
      answerAppend(context, offset, lost);
    }
  }

  private void answerAppend(RoutingContext context, long offset, boolean lost) {
    if (lost) {
      after(faults.current().slowMs(), () -> context.response().reset());
    } else {
      replySlowly(context, 200, Json.object().put("offset", offset));
    }
  }

  private long write(String name, String value) {
    LogStream stream = stream(name);
    long offset = stream.append(value, clock.millis());
    retain(stream);
    releaseWaiters(waiter -> waiter.stream.equals(name) && waiter.from < stream.end());
    return offset;
  }

  private void read(RoutingContext context) {
    String name = context.pathParam("name");
    long from = queryNumber(context, "from", 0);
    long limit = queryNumber(context, "limit", DEFAULT_LIMIT);
    long waitMs = Math.min(LONGEST_WAIT_MS, queryNumber(context, "wait_ms", 0));
    if (from < stream(name).end() || waitMs == 0) {
      answerRead(context, name, from, limit);
      return;
    }
    long timer = vertx.setTimer(waitMs, fired -> releaseWaiters(waiter -> waiter.timer == fired));
    waiters.add(new Waiter(context, name, from, limit, timer));
    context.response().closeHandler(closed -> forget(timer));
  }

  private void forget(long timer) {
    vertx.cancelTimer(timer);
    waiters.removeIf(waiter -> waiter.timer == timer);
  }

  private void releaseWaiters(Predicate<Waiter> condition) {
    List<Waiter> released = waiters.stream().filter(condition).toList();
    waiters.removeAll(released);
    for (Waiter waiter : released) {
      vertx.cancelTimer(waiter.timer);
      if (faults.current().outage()) {
        replyError(waiter.context, UNAVAILABLE, "outage");
      } else {
        answerRead(waiter.context, waiter.stream, waiter.from, waiter.limit);
      }
    }
  }

  private void answerRead(RoutingContext context, String name, long from, long limit) {
    replySlowly(context, 200, stream(name).read(from, limit));
  }

  private void replySlowly(RoutingContext context, int status, Object body) {
    after(faults.current().slowMs(), () -> reply(context, status, body));
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(name, created -> new LogStream());
  }

  private void retain(LogStream stream) {
    stream.retain(
        clock.millis(), faults.current().retentionMs(), faults.current().retentionRecords());
  }
}
