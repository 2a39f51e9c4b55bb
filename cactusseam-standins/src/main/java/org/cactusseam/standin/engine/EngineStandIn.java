package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Clock;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.UUID;
import org.cactusseam.logic.replay.EngineEvent;
import org.cactusseam.logic.replay.EngineModel;
import org.cactusseam.logic.replay.SubmitResult;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.InvalidInputException;
import org.cactusseam.standin.Json;
import org.cactusseam.standin.ReceivedRequestCounter;
import org.cactusseam.standin.ServerCondition;
import org.cactusseam.standin.StandIn;

/**
 * Simulated model engine. Runs the engine model in real time and serves it through the HTTP
 * protocol of engines.
 */
public final class EngineStandIn extends StandIn<EngineFaults> {

  private static final long LOAD_SAMPLE_INTERVAL_MS = 10;
  private static final int NO_CONTENT = 204;
  private static final int UNAVAILABLE = 503;
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;

  private final EngineOptions options;
  private final Clock clock;
  private final ReceivedRequestCounter received;
  private final EngineInventory inventory;
  private final FencingNumbers requestFencing = new FencingNumbers();

  // Orders and requests have separate fencing numbers: those of orders are the log offsets of their
  // records, which exceed the epochs that requests carry. With one common maximum, the engine would
  // refuse all requests after an order.
  private final FencingNumbers orderFencing = new FencingNumbers();
  private final CacheEvents cacheEvents = new CacheEvents();
  private final LoadHistory loadHistory = new LoadHistory();
  private final String processId = UUID.randomUUID().toString().substring(0, 8);
  private RealTimeEngineRunner runner;
  private StreamTable streams;

  /**
   * Creates an engine that runs when it is deployed.
   *
   * @param endpoint address and ports to listen on
   * @param options settings that are fixed at the start
   * @param faults faults that apply from the start
   * @param clock supplies the current time; tests may control it
   */
  @SuppressWarnings(
      "NullAway.Init") // runner and streams need the Vert.x instance, set on deployment
  public EngineStandIn(Endpoint endpoint, EngineOptions options, EngineFaults faults, Clock clock) {
    super(endpoint, faults);
    this.options = options;
    this.clock = clock;
    received = new ReceivedRequestCounter(clock);
    inventory = new EngineInventory(options);
  }

  @Override
  protected void onStarted() {
    EngineModel model =
        new EngineModel(
            options.modelSettings(), new SplittableRandom(options.seed()), clock.instant());
    runner = new RealTimeEngineRunner(vertx, clock, model, this::applyEvents);
    streams =
        new StreamTable(
            vertx, options.resumeWindowMs(), this::droppedTokenIndex, this::cancelAbandoned);
    vertx.setPeriodic(LOAD_SAMPLE_INTERVAL_MS, timer -> sampleLoad());
  }

  @Override
  protected void onFaultsChanged() {
    if (faults.current().stall() || faults.current().hang()) {
      runner.model().pause(runner.now());
    } else {
      runner.model().resume(runner.now());
    }
    if (faults.current().crashAfterMs() >= 0) {
      runAfter(faults.current().crashAfterMs(), this::crash);
      faults.disableOneTimeFault("crash_after_ms", -1);
    }
    if (faults.current().coldAfterMs() >= 0) {
      runAfter(faults.current().coldAfterMs(), () -> runner.model().turnCold(runner.now()));
      faults.disableOneTimeFault("cold_after_ms", -1);
    }
    sampleLoad();
    runner.advance();
  }

  @Override
  protected void addControlRoutes(Router router) {
    super.addControlRoutes(router);
    router.get("/violations").handler(this::handleViolations);
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.post("/v1/completions").handler(context -> handleCompletion(context, false));
    router.post("/v1/chat/completions").handler(context -> handleCompletion(context, true));
    router.get("/streams/:id").handler(this::handleResume);
    router.delete("/streams/:id").handler(this::handleCancel);
    router.get("/load").handler(this::handleLoad);
    router.get("/cache-events").handler(this::handleCacheEvents);
    router.post("/orders").handler(this::handleOrder);
  }

  private void handleCompletion(RoutingContext context, boolean chat) {
    runner.advance();
    CompletionRequest request =
        CompletionRequest.parse(chat, context.request().headers(), bodyText(context), options);
    Optional<TokenStream> running = streams.find(request.stream());
    if (running.isPresent()) {
      attach(context, running.get(), request.streaming(), 0);
      return;
    }
    Optional<String> refusal = checkRefusal(request);
    if (refusal.isPresent()) {
      refuse(context, refusal.get());
      return;
    }
    submit(context, request);
  }

  private Optional<String> checkRefusal(CompletionRequest request) {
    if (request.fencingNumber().isPresent()
        && requestFencing.recordAndCheckStale(request.fencingNumber().getAsLong())
        && !faults.current().ignoreFencing()) {
      return Optional.of("stale_fencing_number");
    }
    received.record();
    if (!inventory.serves(request.model())) {
      return Optional.of("model_not_loaded");
    }
    if (runner.model().waiting() >= options.waitingLimit()) {
      return Optional.of("overloaded");
    }
    return Optional.empty();
  }

  private void submit(RoutingContext context, CompletionRequest request) {
    String crashText = faults.current().crashText();
    boolean crashesEngine = !crashText.isEmpty() && request.prompt().contains(crashText);
    SubmitResult result =
        runner.model().submit(request.toModel(options, crashesEngine), runner.now());
    if (result == SubmitResult.ACCEPTED) {
      TokenStream stream = new TokenStream(request);
      streams.add(stream);
      attach(context, stream, request.streaming(), 0);
    } else if (result == SubmitResult.CRASHED) {
      context.response().reset();
    } else {
      refuse(context, result.name().toLowerCase(Locale.ROOT));
    }
    runner.advance();
  }

  /**
   * Connects a response to a stream. Sends the response head immediately, by which the caller
   * learns that the engine has accepted the request.
   */
  private void attach(RoutingContext context, TokenStream stream, boolean events, int from) {
    HttpServerResponse response = context.response();
    condition().writeTo(response);
    response.putHeader(HttpHeaders.CONTENT_TYPE, events ? "text/event-stream" : "application/json");
    response.setChunked(true);
    response.writeHead();
    streams.attach(stream, response, events, from);
    streams.advance(stream);
  }

  private void refuse(RoutingContext context, String error) {
    condition().writeTo(context.response());
    context.response().putHeader(ServerCondition.NOT_RUN_HEADER, "true");
    int status = error.equals("stale_fencing_number") ? CONFLICT : UNAVAILABLE;
    replyError(context, status, error);
  }

  private void handleResume(RoutingContext context) {
    runner.advance();
    long from = parseQueryNumber(context, "from", 0);
    if (from > Integer.MAX_VALUE) {
      throw new InvalidInputException("from exceeds the largest token index 2147483647: " + from);
    }
    Optional<TokenStream> stream = streams.find(context.pathParam("id"));
    if (stream.isEmpty()) {
      condition().writeTo(context.response());
      replyError(context, NOT_FOUND, "unknown_stream");
      return;
    }
    long resumeIndex = Math.max(0, from - faults.current().resumeReplayTokens());
    attach(context, stream.get(), true, (int) resumeIndex);
  }

  private void handleCancel(RoutingContext context) {
    condition().writeTo(context.response());
    Optional<TokenStream> found = streams.find(context.pathParam("id"));
    if (found.isEmpty()) {
      replyError(context, NOT_FOUND, "unknown_stream");
      return;
    }
    TokenStream stream = found.get();
    if (runner.model().cancel(stream.request().stream(), runner.now())) {
      runner.advance();
      stream.finish("cancelled");
      streams.advance(stream);
    }
    context.response().setStatusCode(NO_CONTENT).end();
  }

  private void handleOrder(RoutingContext context) {
    condition().writeTo(context.response());
    EngineInventory.Order order =
        Json.toValue(Json.parseObject(bodyText(context)), EngineInventory.Order.class);
    EngineInventory.Kind.parse(order.order());
    boolean checksFencing = !faults.current().ignoreFencing();
    boolean isRepeatedOrder = orderFencing.isRepeated(order.fencingNumber());
    if (orderFencing.recordAndCheckStale(order.fencingNumber()) && checksFencing) {
      context.response().putHeader(ServerCondition.NOT_RUN_HEADER, "true");
      replyError(context, CONFLICT, "stale_fencing_number");
      return;
    }
    boolean shouldApply = !(isRepeatedOrder && checksFencing);
    if (shouldApply) {
      int handle = inventory.begin(order);
      runAfter(options.orderMs(), () -> inventory.finish(handle));
    }
    if (faults.consumeOccurrence("lose_order_answers", EngineFaults::loseOrderAnswers)) {
      context.response().reset();
      return;
    }
    reply(context, 200, Json.object().put("applied", shouldApply));
  }

  private void handleLoad(RoutingContext context) {
    runner.advance();
    condition().writeTo(context.response());
    long lagMs = faults.current().loadLagMs();
    ObjectNode current = loadReport();
    reply(
        context,
        200,
        lagMs == 0 ? current : loadHistory.findReport(clock.millis(), lagMs, current));
  }

  private void handleCacheEvents(RoutingContext context) {
    runner.advance();
    condition().writeTo(context.response());
    long untilMs = clock.millis() - faults.current().cacheEventLagMs();
    reply(
        context,
        200,
        cacheEvents.report(incarnation(), parseQueryNumber(context, "from", 0), untilMs));
  }

  private void handleViolations(RoutingContext context) {
    long afterMs = parseQueryNumber(context, "after_ms", 0);
    reply(context, 200, received.report(runner.model().coldViolations(), afterMs));
  }

  private void crash() {
    runner.model().crash(runner.now());
    runner.advance();
  }

  private void cancelAbandoned(TokenStream stream) {
    runner.model().cancel(stream.request().stream(), runner.now());
    runner.advance();
  }

  /**
   * Applies the events of the engine model. Updates all streams before sending, so that the event
   * of the last token carries the finish reason.
   */
  private void applyEvents(List<EngineEvent> events) {
    Set<String> changed = new LinkedHashSet<>();
    for (EngineEvent event : events) {
      switch (event) {
        case EngineEvent.Token token -> {
          streams.find(token.id()).ifPresent(TokenStream::addToken);
          changed.add(token.id());
        }
        case EngineEvent.Finished finished -> {
          streams.find(finished.id()).ifPresent(stream -> finish(stream, finished.reason()));
          changed.add(finished.id());
        }
        case EngineEvent.PrefixStored stored -> addCacheEvent(stored, "stored", stored.block());
        case EngineEvent.PrefixEvicted evicted ->
            addCacheEvent(evicted, "evicted", evicted.block());
        case EngineEvent.Crashed crashed -> {
          sendReadyTokens(changed);
          clearStateAfterCrash();
        }
        case EngineEvent.Restarted restarted -> reopenAfterCrash();
        case EngineEvent.Batched batched -> changed.add(batched.id());
        case EngineEvent.Preempted preempted -> changed.add(preempted.id());
      }
    }
    sendReadyTokens(changed);
  }

  private void sendReadyTokens(Set<String> ids) {
    ids.forEach(id -> streams.find(id).ifPresent(streams::advance));
    ids.clear();
  }

  private static void finish(TokenStream stream, EngineEvent.FinishReason reason) {
    boolean limited = stream.request().limited() || reason == EngineEvent.FinishReason.LENGTH;
    stream.finish(limited ? "length" : "stop");
  }

  private void addCacheEvent(EngineEvent event, String type, long block) {
    cacheEvents.add(event.at().toEpochMilli(), type, block, faults.current().cacheEventGapEvery());
  }

  private void clearStateAfterCrash() {
    streams.clear();
    cacheEvents.clear();
    loadHistory.clear();
    requestFencing.clear();
    orderFencing.clear();
    inventory.clear();
    dropConnections();
  }

  private OptionalInt droppedTokenIndex() {
    int index = faults.current().dropTokenIndex();
    return index < 0 ? OptionalInt.empty() : OptionalInt.of(index);
  }

  private void sampleLoad() {
    if (faults.current().loadLagMs() > 0) {
      loadHistory.add(clock.millis(), loadReport());
    } else {
      loadHistory.clear();
    }
  }

  private ObjectNode loadReport() {
    EngineModel model = runner.model();
    ObjectNode report =
        Json.object()
            .put("incarnation", incarnation())
            .put("state", condition().state())
            .put("running", model.running())
            .put("waiting", model.waiting())
            .put("memory_used_tokens", model.memoryUsedTokens())
            .put("memory_total_tokens", options.memoryTokens())
            .put("preemptions", model.preemptions())
            .put("report_age_ms", 0);
    inventory.writeTo(report);
    return report;
  }

  private ServerCondition condition() {
    return new ServerCondition(incarnation(), runner.model().isCold(runner.now()));
  }

  private String incarnation() {
    return processId + "-" + runner.model().incarnation();
  }
}
