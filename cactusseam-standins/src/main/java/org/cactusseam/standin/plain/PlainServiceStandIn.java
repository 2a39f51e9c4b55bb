package org.cactusseam.standin.plain;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.UUID;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.Json;
import org.cactusseam.standin.ReceivedRequestCounter;
import org.cactusseam.standin.ServerCondition;
import org.cactusseam.standin.StandIn;

/**
 * Simulated plain service. It executes every request on any path without deduplication, so that
 * {@code GET /executions} shows each repeated execution. The response echoes the request, so that a
 * test can check whether a caller received the response to its own request.
 */
public final class PlainServiceStandIn extends StandIn<PlainFaults> {

  /** Header with the idempotency key, by which executions are counted. */
  public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  private final PlainOptions options;
  private final Clock clock;
  private final ReceivedRequestCounter received;
  private final ExecutionCounter executions = new ExecutionCounter();
  private final Deque<RoutingContext> queue = new ArrayDeque<>();
  private final String processId = UUID.randomUUID().toString().substring(0, 8);
  private int incarnation = 1;
  private boolean crashed;
  private int running;
  private long coldUntilMs;
  private int activeColdRequests;
  private int coldPhase;
  private long coldViolations;

  /**
   * Creates a service that runs when it is deployed.
   *
   * @param endpoint address and ports to listen on
   * @param options settings that are fixed at the start
   * @param faults faults that apply from the start
   * @param clock supplies the current time, which ends the cold-start phase
   */
  public PlainServiceStandIn(
      Endpoint endpoint, PlainOptions options, PlainFaults faults, Clock clock) {
    super(endpoint, faults);
    this.options = options;
    this.clock = clock;
    received = new ReceivedRequestCounter(clock);
  }

  @Override
  protected void onStarted() {
    beginColdPhase();
  }

  @Override
  protected void onFaultsChanged() {
    if (faults.current().crashAfterMs() >= 0) {
      runAfter(faults.current().crashAfterMs(), this::crash);
      faults.disableOneTimeFault("crash_after_ms", -1);
    }
    if (faults.current().coldAfterMs() >= 0) {
      runAfter(faults.current().coldAfterMs(), this::beginColdPhase);
      faults.disableOneTimeFault("cold_after_ms", -1);
    }
  }

  @Override
  protected void addControlRoutes(Router router) {
    super.addControlRoutes(router);
    router.get("/executions").handler(context -> reply(context, 200, executions.report()));
    router.get("/violations").handler(this::handleViolations);
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.get("/load").handler(this::handleLoad);
    router.route().handler(this::handleRequest);
  }

  private void handleRequest(RoutingContext context) {
    received.record();
    if (crashed) {
      context.response().reset();
      return;
    }
    if (isCold() && trackColdRequest(context)) {
      coldViolations++;
      crash();
      return;
    }
    if (faults.consumeOccurrence("crash_before_executions", PlainFaults::crashBeforeExecutions)) {
      crash();
      return;
    }
    queue.add(context);
    startQueuedRequests();
  }

  /**
   * Counts a request as active in the current cold-start phase until its response ends. Returns
   * whether the number of active requests exceeds the limit.
   */
  private boolean trackColdRequest(RoutingContext context) {
    int phase = coldPhase;
    activeColdRequests++;
    context.addEndHandler(
        ended -> {
          if (phase == coldPhase) {
            activeColdRequests--;
          }
        });
    return activeColdRequests > options.coldLimit();
  }

  private void startQueuedRequests() {
    while (running < options.workers() && !queue.isEmpty()) {
      RoutingContext next = queue.removeFirst();
      int startIncarnation = incarnation;
      running++;
      long durationMs = options.serviceMs() + faults.current().slowMs();
      runAfter(durationMs, () -> execute(next, startIncarnation));
    }
  }

  private void execute(RoutingContext context, int startIncarnation) {
    if (crashed || startIncarnation != incarnation) {
      return;
    }
    running--;
    Optional<String> key = Optional.ofNullable(context.request().getHeader(IDEMPOTENCY_KEY_HEADER));
    int number = executions.add(key);
    if (faults.consumeOccurrence("crash_after_executions", PlainFaults::crashAfterExecutions)) {
      crash();
      return;
    }
    if (faults.consumeOccurrence("lose_answers", PlainFaults::loseAnswers)) {
      context.response().reset();
    } else {
      replyToRequest(context, number, key);
    }
    startQueuedRequests();
  }

  private void replyToRequest(RoutingContext context, int number, Optional<String> key) {
    condition().writeTo(context.response());
    ObjectNode body =
        Json.object()
            .put("execution", number)
            .put("method", context.request().method().name())
            .put("uri", context.request().uri())
            .put("idempotency_key", key.orElse(null))
            .put("body", bodyText(context));
    reply(context, 200, body);
  }

  private void handleLoad(RoutingContext context) {
    condition().writeTo(context.response());
    ObjectNode report =
        Json.object()
            .put("incarnation", condition().incarnation())
            .put("state", condition().state())
            .put("running", running)
            .put("waiting", queue.size())
            .put("memory_used_tokens", 0)
            .put("memory_total_tokens", 0)
            .put("preemptions", 0)
            .put("role", "serve");
    report.putArray("models");
    reply(context, 200, report);
  }

  private void handleViolations(RoutingContext context) {
    reply(context, 200, received.report(coldViolations, parseQueryNumber(context, "after_ms", 0)));
  }

  private void crash() {
    if (crashed) {
      return;
    }
    crashed = true;
    queue.clear();
    running = 0;
    dropConnections();
    runAfter(options.restartMs(), this::restart);
  }

  private void restart() {
    crashed = false;
    incarnation++;
    beginColdPhase();
    reopenAfterCrash();
  }

  private void beginColdPhase() {
    coldUntilMs = clock.millis() + options.coldMs();
    activeColdRequests = 0;
    coldPhase++;
  }

  private boolean isCold() {
    return clock.millis() < coldUntilMs;
  }

  private ServerCondition condition() {
    return new ServerCondition(processId + "-" + incarnation, isCold());
  }
}
