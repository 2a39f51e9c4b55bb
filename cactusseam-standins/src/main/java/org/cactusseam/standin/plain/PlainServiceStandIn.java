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
 * Simulated plain service. It executes every request on any path and does not suppress repeats, so
 * each repeat is visible in {@code GET /executions}. The answer repeats the request, so a test sees
 * whether a caller received the answer to its own request.
 */
public final class PlainServiceStandIn extends StandIn<PlainFaults> {

  /** Header with the idempotency key. */
  public static final String KEY_HEADER = "Idempotency-Key";

  private final PlainOptions options;
  private final Clock clock;
  private final ReceivedRequestCounter received;
  private final ExecutionCounter executions = new ExecutionCounter();
  private final Deque<RoutingContext> queue = new ArrayDeque<>();
  private final String boot = UUID.randomUUID().toString().substring(0, 8);
  private int incarnation = 1;
  private boolean down;
  private int running;
  private long coldUntilMs;
  private int coldActive;
  private int coldPhase;
  private long coldViolations;

  /**
   * Creates a service; it runs after its deployment.
   *
   * @param endpoint where it listens
   * @param options settings
   * @param faults faults in force from the start
   * @param clock source of time
   */
  public PlainServiceStandIn(
      Endpoint endpoint, PlainOptions options, PlainFaults faults, Clock clock) {
    super(endpoint, faults);
    this.options = options;
    this.clock = clock;
    received = new ReceivedRequestCounter(clock);
  }

  @Override
  protected void started() {
    beginCold();
  }

  @Override
  protected void faultsChanged() {
    if (faults.current().crashAfterMs() >= 0) {
      after(faults.current().crashAfterMs(), this::crash);
      faults.markDone("crash_after_ms", -1);
    }
    if (faults.current().coldAfterMs() >= 0) {
      after(faults.current().coldAfterMs(), this::beginCold);
      faults.markDone("cold_after_ms", -1);
    }
  }

  @Override
  protected void addControlRoutes(Router router) {
    super.addControlRoutes(router);
    router.get("/executions").handler(context -> reply(context, 200, executions.report()));
    router.get("/violations").handler(this::showViolations);
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.get("/load").handler(this::showLoad);
    router.route().handler(this::receive);
  }

  private void receive(RoutingContext context) {
    received.record();
    if (down) {
      context.response().reset();
      return;
    }
    if (isCold() && countCold(context)) {
      coldViolations++;
      crash();
      return;
    }
    if (faults.consume("crash_before_executions", PlainFaults::crashBeforeExecutions)) {
      crash();
      return;
    }
    queue.add(context);
    startWaiting();
  }

  /** Counts a request of the cold phase. Returns whether it exceeds the limit. */
  private boolean countCold(RoutingContext context) {
    int phase = coldPhase;
    coldActive++;
    context.addEndHandler(
        ended -> {
          if (phase == coldPhase) {
            coldActive--;
          }
        });
    return coldActive > options.coldLimit();
  }

  private void startWaiting() {
    while (running < options.workers() && !queue.isEmpty()) {
      RoutingContext next = queue.removeFirst();
      int startedIn = incarnation;
      running++;
      long durationMs = options.serviceMs() + faults.current().slowMs();
      after(durationMs, () -> execute(next, startedIn));
    }
  }

  private void execute(RoutingContext context, int startedIn) {
    if (down || startedIn != incarnation) {
      return;
    }
    running--;
    Optional<String> key = Optional.ofNullable(context.request().getHeader(KEY_HEADER));
    int number = executions.add(key);
    if (faults.consume("crash_after_executions", PlainFaults::crashAfterExecutions)) {
      crash();
      return;
    }
    if (faults.consume("lose_answers", PlainFaults::loseAnswers)) {
      context.response().reset();
    } else {
      answer(context, number, key);
    }
    startWaiting();
  }

  private void answer(RoutingContext context, int number, Optional<String> key) {
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

  private void showLoad(RoutingContext context) {
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

  private void showViolations(RoutingContext context) {
    reply(context, 200, received.report(coldViolations, queryNumber(context, "after_ms", 0)));
  }

  private void crash() {
    if (down) {
      return;
    }
    down = true;
    queue.clear();
    running = 0;
    dropConnections();
    after(options.restartMs(), this::restart);
  }

  private void restart() {
    down = false;
    incarnation++;
    beginCold();
    reopenAfterCrash();
  }

  private void beginCold() {
    coldUntilMs = clock.millis() + options.coldMs();
    coldActive = 0;
    coldPhase++;
  }

  private boolean isCold() {
    return clock.millis() < coldUntilMs;
  }

  private ServerCondition condition() {
    return new ServerCondition(boot + "-" + incarnation, isCold());
  }
}
