package org.cactusseam.edge.caller;

import static org.cactusseam.edge.logging.StructuredLog.field;

import com.google.common.hash.Hashing;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.impl.RoutingContextInternal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cactusseam.edge.backend.BackendConnections;
import org.cactusseam.edge.backend.GenerationRelay;
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.edge.client.BodyReader;
import org.cactusseam.edge.client.CallerConnection;
import org.cactusseam.edge.client.CallerConnections;
import org.cactusseam.edge.client.ClientMemory;
import org.cactusseam.edge.control.RoutingView;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.Route;

/**
 * HTTP server for callers: authenticates requests, finds their routes and starts their handlers.
 * One instance is deployed for each event loop that serves traffic.
 */
public final class CallerServer extends VerticleBase {

  private static final StructuredLog LOG = StructuredLog.of(CallerServer.class);
  private static final String ACCOUNT = "account";
  private static final String BEARER = "Bearer ";
  private static final String BODY_TIMER = "body-timer";
  private static final String READER = "reader";
  private static final String CONTINUE = "100-continue";

  /**
   * Time for a request body to arrive. The connection is closed after that, since it may be
   * half-open.
   */
  private static final long BODY_TIMEOUT_MILLIS = 20_000;

  private static final int IDLE_TIMEOUT_SECONDS = 600;

  /** Shorter than the gap at which a stop of the process is assumed. */
  private static final long CHECK_MILLIS = 50;

  private static final int STATUS_PAYLOAD_TOO_LARGE = 413;

  /** Typical size of a token event with its id, to convert a number of events to bytes. */
  private static final int TYPICAL_EVENT_BYTES = 256;

  private static final int STATUS_OK = 200;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_UNAVAILABLE = 503;

  private final CallerServices services;
  private final Supplier<Optional<Refusal>> refusalForAll;
  private final BooleanSupplier isReady;
  private final HttpClient client;
  private final EventLoopLimits eventLoopLimits;
  private final CallerConnections connections;

  /**
   * Creates a server that does not listen yet.
   *
   * @param services services of the daemon that request handlers use
   * @param refusalForAll returns the refusal for all new requests, or empty while requests are
   *     accepted
   * @param isReady whether the load balancer should send requests to this daemon
   * @param eventLoops number of instances, which share the limits of the process
   */
  public CallerServer(
      CallerServices services,
      Supplier<Optional<Refusal>> refusalForAll,
      BooleanSupplier isReady,
      int eventLoops) {
    this.services = services;
    this.refusalForAll = refusalForAll;
    this.isReady = isReady;
    this.client = BackendConnections.createClient(services.vertx());
    this.eventLoopLimits = EventLoopLimits.ofProcess(services.settings().limits(), eventLoops);
    this.connections =
        new CallerConnections(
            services.vertx(),
            services.clock(),
            new ClientMemory(
                services.clock(), eventLoopLimits.memoryBytes(), eventLoopLimits.maxHeadBytes()),
            new CallerConnections.Limits(
                eventLoopLimits.maximumConnections(),
                () -> Duration.ofSeconds(IDLE_TIMEOUT_SECONDS)),
            limit -> {});
  }

  @Override
  public Future<?> start() {
    Settings settings = services.settings();
    HttpServerOptions options = options(settings.limits().headerBytes());
    settings.tls().caller().ifPresent(certificate -> useTls(options, certificate));
    Router router = router();
    vertx.setPeriodic(CHECK_MILLIS, timer -> connections.check());
    return vertx
        .createHttpServer(options)
        .connectionHandler(this::open)
        .requestHandler(
            request ->
                connections.receive(request, connection -> receive(request, connection, router)))
        .invalidRequestHandler(CallerServer::rejectInvalid)
        .listen(settings.addresses().caller().port(), settings.addresses().caller().host());
  }

  /**
   * Returns the options of the server without TLS. Each response is written by the event loop of
   * its connection. The strict thread mode relies on this and saves the queue for writes from other
   * threads, which takes 4.7 KB for each connection.
   *
   * @param headerBytes maximum length of all headers of a request together, in bytes
   * @return options without address and certificate
   */
  static HttpServerOptions options(int headerBytes) {
    return new HttpServerOptions()
        .setMaxHeaderSize(headerBytes)
        .setStrictThreadMode(true)
        // The memory of a connection is counted for one request at a time.
        .setHttp2ClearTextEnabled(false)
        .setUseAlpn(false)
        .setMaxInitialLineLength(EventLoopLimits.REQUEST_LINE_BYTES)
        .setDecoderInitialBufferSize(BackendConnections.HEADER_LINE_BYTES)
        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
        .setTcpKeepAlive(true)
        .setTcpNoDelay(true);
  }

  private void open(HttpConnection connection) {
    connections.open(connection);
    connection.closeHandler(closed -> connections.remove(connection));
  }

  private void receive(HttpServerRequest request, CallerConnection connection, Router router) {
    BodyReader reader =
        connections.start(
            request, connection, services.settings().limits().bodyBytes(), ended -> {});
    router.handle(request);
    if (!reader.isStarted()) {
      connections.discardRest(request, reader, () -> {});
    }
  }

  private static void useTls(HttpServerOptions options, Settings.Certificate certificate) {
    options
        .setSsl(true)
        .setKeyCertOptions(
            new PemKeyCertOptions()
                .setCertValue(Buffer.buffer(certificate.chain().bytes()))
                .setKeyValue(Buffer.buffer(certificate.privateKey().bytes())));
  }

  private Router router() {
    Router router = Router.router(vertx);
    router.get("/ready").handler(this::handleReady);
    router
        .route()
        .handler(
            context -> {
              context.put(READER, connections.currentReader(context.request().connection()));
              context.next();
            });
    router.route().handler(this::authenticate);
    router.route().handler(this::readBody);
    router.post("/v1/completions").handler(this::handleModelRequest);
    router.post("/v1/chat/completions").handler(this::handleModelRequest);
    router.get("/v1/generations/:generation").handler(this::handleResume);
    router.delete("/v1/generations/:generation").handler(this::handleCancel);
    router.route().handler(this::handlePlainRequest);
    router.route().failureHandler(this::handleFailure);
    return router;
  }

  private void handleReady(RoutingContext context) {
    context.response().setStatusCode(isReady.getAsBoolean() ? STATUS_OK : STATUS_UNAVAILABLE).end();
  }

  /**
   * Checks the API key and the limit on concurrent requests. This happens before the body is read,
   * so that unauthenticated requests take little memory.
   */
  private void authenticate(RoutingContext context) {
    Optional<Refusal> refusal = refusalForAll.get();
    if (refusal.isPresent()) {
      refuse(context, refusal.get());
      return;
    }
    Optional<ClientAccount> account =
        Optional.ofNullable(context.request().getHeader("Authorization"))
            .filter(value -> value.startsWith(BEARER))
            .map(value -> value.substring(BEARER.length()).trim())
            .flatMap(key -> services.view().get().accountOf(sha256(key)));
    if (account.isEmpty()) {
      refuse(context, Refusal.permanent(ResultCode.UNAUTHENTICATED, "missing or unknown API key"));
      return;
    }
    if (services.active().size() >= services.settings().limits().concurrentRequests()) {
      refuse(
          context,
          new Refusal(
              ResultCode.OVERLOADED,
              "this VM has reached its limit of concurrent requests",
              Duration.ofSeconds(1)));
      return;
    }
    context.put(ACCOUNT, account.get());
    HttpServerRequest request = context.request();
    context.put(
        BODY_TIMER, vertx.setTimer(BODY_TIMEOUT_MILLIS, timer -> request.connection().close()));
    context.next();
  }

  private void readBody(RoutingContext context) {
    HttpServerRequest request = context.request();
    BodyReader reader = context.get(READER);
    if (reader.announcedBodyBytes() > services.settings().limits().bodyBytes()) {
      context.fail(STATUS_PAYLOAD_TOO_LARGE);
      return;
    }
    if (CONTINUE.equalsIgnoreCase(request.getHeader("Expect"))) {
      context.response().writeContinue();
    }
    reader
        .read()
        .onComplete(read -> cancelBodyTimer(context))
        .onSuccess(
            result -> {
              switch (result) {
                case BodyReader.Result.Complete complete -> {
                  if (complete.body().length() > 0) {
                    ((RoutingContextInternal) context).setBody(complete.body());
                  }
                  context.next();
                }
                case BodyReader.Result.TooLong tooLong -> context.fail(STATUS_PAYLOAD_TOO_LARGE);
                case BodyReader.Result.Refused refused -> {
                  refuse(
                      context,
                      new Refusal(
                          ResultCode.MEMORY_EXHAUSTED,
                          "the request was not read, limit: " + refused.limit(),
                          Duration.ofSeconds(1)));
                  connections.discardRest(request, reader, () -> {});
                }
              }
            })
        .onFailure(cause -> LOG.debug("request_broken_off", field("cause", cause.getMessage())));
  }

  private void cancelBodyTimer(RoutingContext context) {
    Long timer = context.get(BODY_TIMER);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  private void handleModelRequest(RoutingContext context) {
    JsonObject body;
    try {
      body = context.body().asJsonObject();
    } catch (DecodeException | ClassCastException e) {
      refuse(
          context,
          Refusal.permanent(ResultCode.MALFORMED_REQUEST, "the request body is not a JSON object"));
      return;
    }
    if (body == null || !(body.getValue("model") instanceof String model)) {
      refuse(
          context,
          Refusal.permanent(
              ResultCode.MALFORMED_REQUEST, "the request body has no string field \"model\""));
      return;
    }
    RoutingView view = services.view().get();
    Optional<Route> route = view.modelRoute(context.request().path(), model);
    if (route.isEmpty()) {
      refuse(
          context, Refusal.permanent(ResultCode.UNKNOWN_ROUTE, "no route for this path and model"));
      return;
    }
    createInfo(context, route.get()).ifPresent(info -> startModelRequest(context, info, body));
  }

  private void startModelRequest(RoutingContext context, RequestInfo info, JsonObject body) {
    releaseBody(context.request());
    context.<BodyReader>get(READER).dropDecoded();
    HttpServerResponse response = context.response();
    response.putHeader(Headers.REQUEST, info.id());
    response.exceptionHandler(cause -> {});
    limitWriteQueue(response, eventsPerStream());
    CallerResponse callerResponse =
        Boolean.TRUE.equals(body.getValue("stream"))
            ? new StreamedResponse(response, services.clusterKey())
            : new CollectedResponse(response, services.clusterKey());
    ModelRequest request =
        new ModelRequest(
            services,
            client,
            info,
            body,
            callerResponse,
            createSlowReaderGuard(context.request()),
            new RunOnceGuard(
                services.claims(),
                info,
                Optional.ofNullable(context.request().getHeader(Headers.IDEMPOTENCY_KEY))));
    // All needed headers have been read. Without clearing they would stay in memory for the whole
    // stream.
    context.request().headers().clear();
    response.closeHandler(closed -> request.callerDisconnected());
    request.start();
  }

  /**
   * Removes the body handlers of a request. Otherwise they would keep the body, and everything
   * parsed from it, in memory for the whole stream.
   */
  private static void releaseBody(HttpServerRequest request) {
    request.handler(null).endHandler(null).exceptionHandler(null);
  }

  private int eventsPerStream() {
    return services.settings().limits().eventsPerStream();
  }

  /**
   * Limits the write queue of a response, and so the memory for a caller that reads slowly.
   *
   * @param response response to the caller
   * @param events limit, as a number of token events of typical size
   */
  static void limitWriteQueue(HttpServerResponse response, int events) {
    response.setWriteQueueMaxSize(events * TYPICAL_EVENT_BYTES);
  }

  private SlowReaderGuard createSlowReaderGuard(HttpServerRequest request) {
    HttpConnection connection = request.connection();
    return new SlowReaderGuard(
        vertx, services.settings().limits().slowReaderTimeout(), connection::close);
  }

  private void handleResume(RoutingContext context) {
    Optional<String> lastEventId =
        Optional.ofNullable(context.request().getHeader(Headers.LAST_EVENT_ID));
    Optional<ResumedStream.Position> position =
        ResumedStream.Position.parse(context.pathParam("generation"), lastEventId);
    Optional<GenerationId> generation = decodeGeneration(context);
    Optional<BackendServer> server = generation.flatMap(this::findServer);
    if (position.isEmpty() || generation.isEmpty() || server.isEmpty()) {
      refuse(
          context,
          Refusal.permanent(ResultCode.UNKNOWN_GENERATION, "no such generation for this account"));
      return;
    }
    createInfo(context, routeOfPool(server.get()))
        .ifPresent(
            info -> {
              ResumedStream stream =
                  new ResumedStream(
                      services,
                      client,
                      info,
                      generation.get(),
                      server.get(),
                      position.get().nextIndex(),
                      new StreamedResponse(context.response(), services.clusterKey()),
                      createSlowReaderGuard(context.request()));
              context.response().putHeader(Headers.REQUEST, info.id());
              context.response().exceptionHandler(cause -> {});
              limitWriteQueue(context.response(), eventsPerStream());
              context.response().closeHandler(closed -> stream.callerDisconnected());
              stream.start();
            });
  }

  private Route routeOfPool(BackendServer server) {
    return services.view().get().configuration().all(Route.class).stream()
        .filter(route -> route.pool().equals(server.pool()))
        .findFirst()
        .orElseThrow();
  }

  private void handleCancel(RoutingContext context) {
    Optional<GenerationId> generation = decodeGeneration(context);
    Optional<BackendServer> server = generation.flatMap(this::findServer);
    if (server.isEmpty()) {
      refuse(
          context,
          Refusal.permanent(ResultCode.UNKNOWN_GENERATION, "no such generation for this account"));
      return;
    }
    new GenerationRelay(
            vertx,
            services.clock(),
            client,
            server.get(),
            generation.get(),
            0,
            new DiscardingSink())
        .cancel();
    context.response().setStatusCode(STATUS_NO_CONTENT).end();
  }

  private Optional<GenerationId> decodeGeneration(RoutingContext context) {
    ClientAccount account = context.get(ACCOUNT);
    return GenerationId.decode(context.pathParam("generation"), services.clusterKey())
        .filter(id -> id.account().equals(account.name()));
  }

  private Optional<BackendServer> findServer(GenerationId generation) {
    return services.view().get().configuration().server(generation.server());
  }

  private void handlePlainRequest(RoutingContext context) {
    HttpServerRequest request = context.request();
    Optional<Route> route = services.view().get().plainRoute(request.path());
    if (route.isEmpty()) {
      refuse(context, Refusal.permanent(ResultCode.UNKNOWN_ROUTE, "no route for this path"));
      return;
    }
    Buffer body = Optional.ofNullable(context.body().buffer()).orElseGet(Buffer::buffer);
    createInfo(context, route.get())
        .ifPresent(
            info -> {
              context.response().putHeader(Headers.REQUEST, info.id());
              PlainRequest plainRequest = new PlainRequest(services, client, info, request, body);
              context.response().closeHandler(closed -> plainRequest.callerDisconnected());
              plainRequest.start();
            });
  }

  private Optional<RequestInfo> createInfo(RoutingContext context, Route route) {
    ClientAccount account = context.get(ACCOUNT);
    Instant now = services.clock().instant();
    Optional<Long> deadlineMillis = parseDeadlineMillis(context, route);
    if (deadlineMillis.isEmpty()) {
      refuse(
          context,
          Refusal.permanent(
              ResultCode.MALFORMED_REQUEST,
              Headers.DEADLINE + " is not a positive number of milliseconds"));
      return Optional.empty();
    }
    Buffer body = Optional.ofNullable(context.body().buffer()).orElseGet(Buffer::buffer);
    String fingerprint =
        BodyReader.hash(
                body,
                Hashing.sha256()
                    .newHasher()
                    .putString(account.name() + "|" + route.name() + "|", StandardCharsets.UTF_8))
            .toString();
    return Optional.of(
        new RequestInfo(
            services.ids().nextRequest(),
            account,
            route,
            now,
            now.plusMillis(deadlineMillis.get()),
            fingerprint));
  }

  private static Optional<Long> parseDeadlineMillis(RoutingContext context, Route route) {
    String text = context.request().getHeader(Headers.DEADLINE);
    if (text == null) {
      return Optional.of((long) route.deadlineMillis());
    }
    try {
      return Optional.of(Long.parseLong(text.trim())).filter(millis -> millis > 0);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private void handleFailure(RoutingContext context) {
    cancelBodyTimer(context);
    if (context.statusCode() == STATUS_PAYLOAD_TOO_LARGE) {
      refuse(
          context,
          Refusal.permanent(
              ResultCode.TOO_LARGE, "the request body is larger than the configured limit"));
    } else if (context.failure() == null) {
      refuse(context, Refusal.permanent(ResultCode.MALFORMED_REQUEST, "the request is malformed"));
    } else {
      LOG.error("request_failed", context.failure());
      refuse(context, Refusal.permanent(ResultCode.INTERNAL_ERROR, "internal error"));
    }
  }

  private static void rejectInvalid(HttpServerRequest request) {
    RefusalWriter.write(
        request.response(),
        Refusal.permanent(
            ResultCode.TOO_LARGE, "the request line or the headers are malformed or too long"));
    request.connection().close();
  }

  private static void refuse(RoutingContext context, Refusal refusal) {
    RefusalWriter.write(context.response(), refusal);
  }

  private static String sha256(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }
}
