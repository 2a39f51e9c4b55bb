package org.cactusseam.edge.caller;

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
import io.vertx.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cactusseam.edge.backend.BackendConnections;
import org.cactusseam.edge.backend.GenerationRelay;
import org.cactusseam.edge.backend.Headers;
import org.cactusseam.edge.control.RoutingView;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.Route;

/** HTTP interface towards callers; one instance for each event loop that serves traffic. */
public final class CallerServer extends VerticleBase {

  private static final StructuredLog LOG = StructuredLog.of(CallerServer.class);
  private static final String ACCOUNT = "account";
  private static final String BEARER = "Bearer ";
  private static final String BODY_TIMER = "body-timer";

  /** A body that takes longer to arrive is refused; it may be a half-open connection. */
  private static final long BODY_TIMEOUT_MILLIS = 20_000;

  private static final int IDLE_TIMEOUT_SECONDS = 600;
  private static final int STATUS_PAYLOAD_TOO_LARGE = 413;

  /** Size of a token event with its identity, to count a buffer in events. */
  private static final int USUAL_EVENT_BYTES = 256;

  private static final int STATUS_OK = 200;
  private static final int STATUS_NO_CONTENT = 204;
  private static final int STATUS_UNAVAILABLE = 503;

  private final CallerServices services;
  private final Supplier<Optional<Refusal>> guard;
  private final BooleanSupplier readiness;
  private final HttpClient client;

  /**
   * Creates an instance.
   *
   * @param services rest of the daemon
   * @param guard reason to refuse all new requests, while there is one
   * @param readiness whether the balancer shall send requests
   */
  public CallerServer(
      CallerServices services, Supplier<Optional<Refusal>> guard, BooleanSupplier readiness) {
    this.services = services;
    this.guard = guard;
    this.readiness = readiness;
    this.client = BackendConnections.createClient(services.vertx());
  }

  @Override
  public Future<?> start() {
    Settings settings = services.settings();
    HttpServerOptions options = options(settings.limits().headerBytes());
    settings.tls().caller().ifPresent(certificate -> useTls(options, certificate));
    return vertx
        .createHttpServer(options)
        .requestHandler(router())
        .invalidRequestHandler(CallerServer::invalid)
        .listen(settings.addresses().caller().port(), settings.addresses().caller().host());
  }

  /**
   * Returns the options of the server without TLS. Each answer is written by the event loop of its
   * connection; the strict thread mode relies on this and saves the queue for writes of other
   * threads, 4.7 KB for each connection.
   *
   * @param headerBytes greatest length of all headers of a request
   * @return options
   */
  static HttpServerOptions options(int headerBytes) {
    return new HttpServerOptions()
        .setMaxHeaderSize(headerBytes)
        .setStrictThreadMode(true)
        .setDecoderInitialBufferSize(BackendConnections.HEADER_LINE_BYTES)
        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
        .setTcpKeepAlive(true)
        .setTcpNoDelay(true);
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
    router.get("/ready").handler(this::ready);
    router.route().handler(this::authenticate);
    router
        .route()
        .handler(BodyHandler.create(false).setBodyLimit(services.settings().limits().bodyBytes()));
    router.route().handler(this::bodyArrived);
    router.post("/v1/completions").handler(this::model);
    router.post("/v1/chat/completions").handler(this::model);
    router.get("/v1/generations/:generation").handler(this::resume);
    router.delete("/v1/generations/:generation").handler(this::cancel);
    router.route().handler(this::plain);
    router.route().failureHandler(this::failure);
    return router;
  }

  private void ready(RoutingContext context) {
    context
        .response()
        .setStatusCode(readiness.getAsBoolean() ? STATUS_OK : STATUS_UNAVAILABLE)
        .end();
  }

  /** The key is checked before the body is read, so that strangers cost little memory. */
  private void authenticate(RoutingContext context) {
    Optional<Refusal> closed = guard.get();
    if (closed.isPresent()) {
      refuse(context, closed.get());
      return;
    }
    Optional<ClientAccount> account =
        Optional.ofNullable(context.request().getHeader("Authorization"))
            .filter(value -> value.startsWith(BEARER))
            .map(value -> value.substring(BEARER.length()).trim())
            .flatMap(key -> services.view().get().accountOf(sha256(key)));
    if (account.isEmpty()) {
      refuse(context, Refusal.permanent(ResultCode.UNAUTHENTICATED, "no valid key"));
      return;
    }
    if (services.active().size() >= services.settings().limits().concurrentRequests()) {
      refuse(
          context,
          new Refusal(
              ResultCode.OVERLOADED,
              "this VM serves as many requests as it can",
              java.time.Duration.ofSeconds(1)));
      return;
    }
    context.put(ACCOUNT, account.get());
    HttpServerRequest request = context.request();
    context.put(
        BODY_TIMER, vertx.setTimer(BODY_TIMEOUT_MILLIS, timer -> request.connection().close()));
    context.next();
  }

  private void bodyArrived(RoutingContext context) {
    cancelBodyTimer(context);
    context.next();
  }

  private void cancelBodyTimer(RoutingContext context) {
    Long timer = context.get(BODY_TIMER);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  private void model(RoutingContext context) {
    JsonObject body;
    try {
      body = context.body().asJsonObject();
    } catch (DecodeException | ClassCastException e) {
      refuse(context, Refusal.permanent(ResultCode.MALFORMED_REQUEST, "the body is not JSON"));
      return;
    }
    if (body == null || !(body.getValue("model") instanceof String model)) {
      refuse(context, Refusal.permanent(ResultCode.MALFORMED_REQUEST, "the body names no model"));
      return;
    }
    RoutingView view = services.view().get();
    Optional<Route> route = view.modelRoute(context.request().path(), model);
    if (route.isEmpty()) {
      refuse(context, Refusal.permanent(ResultCode.UNKNOWN_ROUTE, "no route for this model"));
      return;
    }
    info(context, route.get()).ifPresent(info -> startModel(context, info, body));
  }

  private void startModel(RoutingContext context, RequestInfo info, JsonObject body) {
    forgetBody(context.request());
    HttpServerResponse response = context.response();
    response.putHeader(Headers.REQUEST, info.id());
    response.exceptionHandler(cause -> {});
    boundBuffer(response, eventsPerStream());
    CallerResponse answer =
        Boolean.TRUE.equals(body.getValue("stream"))
            ? new StreamedResponse(response, services.clusterKey())
            : new CollectedResponse(response, services.clusterKey());
    ModelRequest request =
        new ModelRequest(
            services,
            client,
            info,
            body,
            answer,
            slowReader(context.request()),
            new RunOnceGuard(
                services.claims(),
                info,
                Optional.ofNullable(context.request().getHeader(Headers.IDEMPOTENCY_KEY))));
    // Every header has been read; they would be held as long as the stream lasts.
    context.request().headers().clear();
    response.closeHandler(closed -> request.callerLeft());
    request.start();
  }

  /**
   * The handlers of the body would hold it, and all that was parsed, as long as the stream lasts.
   */
  private static void forgetBody(HttpServerRequest request) {
    request.handler(null).endHandler(null).exceptionHandler(null);
  }

  private int eventsPerStream() {
    return services.settings().limits().eventsPerStream();
  }

  /**
   * Bounds what is held for a caller that reads slowly.
   *
   * @param response answer
   * @param events number of token events
   */
  static void boundBuffer(HttpServerResponse response, int events) {
    response.setWriteQueueMaxSize(events * USUAL_EVENT_BYTES);
  }

  private SlowReaderGuard slowReader(HttpServerRequest request) {
    HttpConnection connection = request.connection();
    return new SlowReaderGuard(
        vertx, services.settings().limits().slowReaderTimeout(), connection::close);
  }

  private void resume(RoutingContext context) {
    Optional<String> last = Optional.ofNullable(context.request().getHeader(Headers.LAST_EVENT_ID));
    Optional<ResumedStream.Position> position =
        ResumedStream.Position.parse(context.pathParam("generation"), last);
    Optional<GenerationId> generation = generation(context);
    Optional<BackendServer> server = generation.flatMap(this::server);
    if (position.isEmpty() || generation.isEmpty() || server.isEmpty()) {
      refuse(
          context,
          Refusal.permanent(ResultCode.UNKNOWN_GENERATION, "no such generation for this account"));
      return;
    }
    info(context, resumedRoute(server.get()))
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
                      slowReader(context.request()));
              context.response().putHeader(Headers.REQUEST, info.id());
              context.response().exceptionHandler(cause -> {});
              boundBuffer(context.response(), eventsPerStream());
              context.response().closeHandler(closed -> stream.callerLeft());
              stream.start();
            });
  }

  private Route resumedRoute(BackendServer server) {
    return services.view().get().configuration().all(Route.class).stream()
        .filter(route -> route.pool().equals(server.pool()))
        .findFirst()
        .orElseThrow();
  }

  private void cancel(RoutingContext context) {
    Optional<GenerationId> generation = generation(context);
    Optional<BackendServer> server = generation.flatMap(this::server);
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

  private Optional<GenerationId> generation(RoutingContext context) {
    ClientAccount account = context.get(ACCOUNT);
    return GenerationId.decode(context.pathParam("generation"), services.clusterKey())
        .filter(id -> id.account().equals(account.name()));
  }

  private Optional<BackendServer> server(GenerationId generation) {
    return services.view().get().configuration().server(generation.server());
  }

  private void plain(RoutingContext context) {
    HttpServerRequest request = context.request();
    Optional<Route> route = services.view().get().plainRoute(request.path());
    if (route.isEmpty()) {
      refuse(context, Refusal.permanent(ResultCode.UNKNOWN_ROUTE, "no route for this path"));
      return;
    }
    Buffer body = Optional.ofNullable(context.body().buffer()).orElseGet(Buffer::buffer);
    info(context, route.get())
        .ifPresent(
            info -> {
              context.response().putHeader(Headers.REQUEST, info.id());
              PlainRequest plain = new PlainRequest(services, client, info, request, body);
              context.response().closeHandler(closed -> plain.callerLeft());
              plain.start();
            });
  }

  private Optional<RequestInfo> info(RoutingContext context, Route route) {
    ClientAccount account = context.get(ACCOUNT);
    Instant now = services.clock().instant();
    Optional<Long> deadline = deadline(context, route);
    if (deadline.isEmpty()) {
      refuse(
          context,
          Refusal.permanent(
              ResultCode.MALFORMED_REQUEST, Headers.DEADLINE + " is not a positive number"));
      return Optional.empty();
    }
    Buffer body = Optional.ofNullable(context.body().buffer()).orElseGet(Buffer::buffer);
    String fingerprint =
        Hashing.sha256()
            .newHasher()
            .putString(account.name() + "|" + route.name() + "|", StandardCharsets.UTF_8)
            .putBytes(body.getBytes())
            .hash()
            .toString();
    return Optional.of(
        new RequestInfo(
            services.ids().nextRequest(),
            account,
            route,
            now,
            now.plusMillis(deadline.get()),
            fingerprint));
  }

  private static Optional<Long> deadline(RoutingContext context, Route route) {
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

  private void failure(RoutingContext context) {
    cancelBodyTimer(context);
    if (context.statusCode() == STATUS_PAYLOAD_TOO_LARGE) {
      refuse(context, Refusal.permanent(ResultCode.TOO_LARGE, "the body is too large"));
    } else if (context.failure() == null) {
      refuse(context, Refusal.permanent(ResultCode.MALFORMED_REQUEST, "the request is malformed"));
    } else {
      LOG.error("request_failed", context.failure());
      refuse(context, Refusal.permanent(ResultCode.INTERNAL_ERROR, "internal error"));
    }
  }

  private static void invalid(HttpServerRequest request) {
    RefusalWriter.write(
        request.response(),
        Refusal.permanent(ResultCode.TOO_LARGE, "the request line or a header is not acceptable"));
    request.connection().close();
  }

  private static void refuse(RoutingContext context, Refusal refusal) {
    RefusalWriter.write(context.response(), refusal);
  }

  private static String sha256(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }
}
