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

/** Simulated model engine: the engine model in real time behind the protocol of engines. */
public final class EngineStandIn extends StandIn<EngineFaults> {

  private static final long LOAD_SAMPLE_MS = 10;
  private static final int NO_CONTENT = 204;
  private static final int UNAVAILABLE = 503;
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;

  private final EngineOptions options;
  private final Clock clock;
  private final ReceivedRequestCounter received;
  private final Orders orders;
  private final FencingNumbers requestFencing = new FencingNumbers();

  // Orders carry log offsets of their own records, which are above the epochs of requests; one
  // common number would make an engine refuse all requests after an order.
  private final FencingNumbers orderFencing = new FencingNumbers();
  private final CacheEvents cacheEvents = new CacheEvents();
  private final LoadHistory loadHistory = new LoadHistory();
  private final String boot = UUID.randomUUID().toString().substring(0, 8);
  private RealTimeEngineRunner driver;
  private StreamTable streams;

  /**
   * Creates an engine; it runs after its deployment.
   *
   * @param endpoint where it listens
   * @param options settings
   * @param faults faults in force from the start
   * @param clock source of time
   */
  @SuppressWarnings("NullAway.Init") // driver and streams need the Vert.x instance
  public EngineStandIn(Endpoint endpoint, EngineOptions options, EngineFaults faults, Clock clock) {
    super(endpoint, faults);
    this.options = options;
    this.clock = clock;
    received = new ReceivedRequestCounter(clock);
    orders = new Orders(options);
  }

  @Override
  protected void started() {
    EngineModel model =
        new EngineModel(
            options.modelSettings(), new SplittableRandom(options.seed()), clock.instant());
    driver = new RealTimeEngineRunner(vertx, clock, model, this::handle);
    streams =
        new StreamTable(vertx, options.resumeWindowMs(), this::dropIndex, this::cancelAbandoned);
    vertx.setPeriodic(LOAD_SAMPLE_MS, timer -> sampleLoad());
  }

  @Override
  protected void faultsChanged() {
    if (faults.current().stall() || faults.current().hang()) {
      driver.model().pause(driver.now());
    } else {
      driver.model().resume(driver.now());
    }
    if (faults.current().crashAfterMs() >= 0) {
      after(faults.current().crashAfterMs(), this::crash);
      faults.markDone("crash_after_ms", -1);
    }
    if (faults.current().coldAfterMs() >= 0) {
      after(faults.current().coldAfterMs(), () -> driver.model().turnCold(driver.now()));
      faults.markDone("cold_after_ms", -1);
    }
    sampleLoad();
    driver.run();
  }

  @Override
  protected void addControlRoutes(Router router) {
    super.addControlRoutes(router);
    router.get("/violations").handler(this::showViolations);
  }

  @Override
  protected void addServiceRoutes(Router router) {
    router.post("/v1/completions").handler(context -> complete(context, false));
    router.post("/v1/chat/completions").handler(context -> complete(context, true));
    router.get("/streams/:id").handler(this::resume);
    router.delete("/streams/:id").handler(this::cancel);
    router.get("/load").handler(this::showLoad);
    router.get("/cache-events").handler(this::showCacheEvents);
    router.post("/orders").handler(this::order);
  }

  private void complete(RoutingContext context, boolean chat) {
    driver.run();
    CompletionRequest request =
        CompletionRequest.parse(chat, context.request().headers(), bodyText(context), options);
    Optional<TokenStream> running = streams.find(request.stream());
    if (running.isPresent()) {
      attach(context, running.get(), request.streaming(), 0);
      return;
    }
    Optional<String> refusal = refusalOf(request);
    if (refusal.isPresent()) {
      refuse(context, refusal.get());
      return;
    }
    submit(context, request);
  }

  private Optional<String> refusalOf(CompletionRequest request) {
    if (request.fencingNumber().isPresent()
        && requestFencing.isStale(request.fencingNumber().getAsLong())
        && !faults.current().ignoreFencing()) {
      return Optional.of("stale_fencing_number");
    }
    received.record();
    if (!orders.serves(request.model())) {
      return Optional.of("model_not_loaded");
    }
    if (driver.model().waiting() >= options.waitingLimit()) {
      return Optional.of("overloaded");
    }
    return Optional.empty();
  }

  private void submit(RoutingContext context, CompletionRequest request) {
    String crashText = faults.current().crashText();
    boolean crashes = !crashText.isEmpty() && request.prompt().contains(crashText);
    SubmitResult result = driver.model().submit(request.toModel(options, crashes), driver.now());
    if (result == SubmitResult.ACCEPTED) {
      TokenStream stream = new TokenStream(request);
      streams.add(stream);
      attach(context, stream, request.streaming(), 0);
    } else if (result == SubmitResult.CRASHED) {
      context.response().reset();
    } else {
      refuse(context, result.name().toLowerCase(Locale.ROOT));
    }
    driver.run();
  }

  /** Sends the head at once, which tells the caller that the engine has accepted the request. */
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

  private void resume(RoutingContext context) {
    driver.run();
    long from = queryNumber(context, "from", 0);
    if (from > Integer.MAX_VALUE) {
      throw new InvalidInputException("from is too large: " + from);
    }
    Optional<TokenStream> stream = streams.find(context.pathParam("id"));
    if (stream.isEmpty()) {
      condition().writeTo(context.response());
      replyError(context, NOT_FOUND, "unknown_stream");
      return;
    }
    long replayed = Math.max(0, from - faults.current().resumeReplayTokens());
    attach(context, stream.get(), true, (int) replayed);
  }

  private void cancel(RoutingContext context) {
    condition().writeTo(context.response());
    Optional<TokenStream> found = streams.find(context.pathParam("id"));
    if (found.isEmpty()) {
      replyError(context, NOT_FOUND, "unknown_stream");
      return;
    }
    TokenStream stream = found.get();
    if (driver.model().cancel(stream.request().stream(), driver.now())) {
      driver.run();
      stream.finish("cancelled");
      streams.advance(stream);
    }
    context.response().setStatusCode(NO_CONTENT).end();
  }

  private void order(RoutingContext context) {
    condition().writeTo(context.response());
    Orders.Order order = Json.toValue(Json.parseObject(bodyText(context)), Orders.Order.class);
    Orders.Kind.parse(order.order());
    boolean checked = !faults.current().ignoreFencing();
    boolean repeated = orderFencing.isRepeated(order.fencingNumber());
    if (orderFencing.isStale(order.fencingNumber()) && checked) {
      context.response().putHeader(ServerCondition.NOT_RUN_HEADER, "true");
      replyError(context, CONFLICT, "stale_fencing_number");
      return;
    }
    boolean applies = !(repeated && checked);
    if (applies) {
      int handle = orders.begin(order);
      after(options.orderMs(), () -> orders.finish(handle));
    }
    if (faults.consume("lose_order_answers", EngineFaults::loseOrderAnswers)) {
      context.response().reset();
      return;
    }
    reply(context, 200, Json.object().put("applied", applies));
  }

  private void showLoad(RoutingContext context) {
    driver.run();
    condition().writeTo(context.response());
    long lagMs = faults.current().loadLagMs();
    ObjectNode current = loadReport();
    reply(context, 200, lagMs == 0 ? current : loadHistory.at(clock.millis(), lagMs, current));
  }

  private void showCacheEvents(RoutingContext context) {
    driver.run();
    condition().writeTo(context.response());
    long untilMs = clock.millis() - faults.current().cacheEventLagMs();
    reply(
        context, 200, cacheEvents.report(incarnation(), queryNumber(context, "from", 0), untilMs));
  }

  private void showViolations(RoutingContext context) {
    long afterMs = queryNumber(context, "after_ms", 0);
    reply(context, 200, received.report(driver.model().coldViolations(), afterMs));
  }

  private void crash() {
    driver.model().crash(driver.now());
    driver.run();
  }

  private void cancelAbandoned(TokenStream stream) {
    driver.model().cancel(stream.request().stream(), driver.now());
    driver.run();
  }

  /** Updates the streams before it sends, so that the last token carries the finish reason. */
  private void handle(List<EngineEvent> events) {
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
          advance(changed);
          loseEverything();
        }
        case EngineEvent.Restarted restarted -> reopenAfterCrash();
        case EngineEvent.Batched batched -> changed.add(batched.id());
        case EngineEvent.Preempted preempted -> changed.add(preempted.id());
      }
    }
    advance(changed);
  }

  private void advance(Set<String> ids) {
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

  private void loseEverything() {
    streams.clear();
    cacheEvents.clear();
    loadHistory.clear();
    requestFencing.clear();
    orderFencing.clear();
    orders.clear();
    dropConnections();
  }

  private OptionalInt dropIndex() {
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
    EngineModel model = driver.model();
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
    orders.addTo(report);
    return report;
  }

  private ServerCondition condition() {
    return new ServerCondition(incarnation(), driver.model().isCold(driver.now()));
  }

  private String incarnation() {
    return boot + "-" + driver.model().incarnation();
  }
}
