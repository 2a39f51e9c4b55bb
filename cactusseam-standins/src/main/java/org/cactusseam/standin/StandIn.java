package org.cactusseam.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.List;
import org.jboss.logging.Logger;

/**
 * Base class of simulated external systems. A stand-in runs as a verticle, so that all its state is
 * confined to one event loop.
 *
 * <p>The routes that set faults and read counters are served on the service port and, if
 * configured, on the admin port. They are answered even while the service hangs.
 *
 * @param <F> record whose components are the faults of the stand-in
 */
public abstract class StandIn<F extends Record & Faults> extends VerticleBase {

  private static final Logger LOG = Logger.getLogger(StandIn.class);
  private static final long BODY_LIMIT_BYTES = 8 << 20;
  private static final int NOT_LISTENING = -1;

  /** Fault settings, which tests change at run time. */
  protected final FaultSettings<F> faults;

  private final Endpoint endpoint;
  private final List<RoutingContext> heldRequests = new ArrayList<>();
  private ServicePort servicePort;
  private volatile int port = NOT_LISTENING;
  private volatile int adminPort = NOT_LISTENING;

  /**
   * Creates a stand-in that starts to listen when it is deployed.
   *
   * @param endpoint address and ports to listen on
   * @param initialFaults faults that apply from the start
   */
  @SuppressWarnings(
      "NullAway.Init") // the service port needs the Vert.x instance, which is set on deployment
  protected StandIn(Endpoint endpoint, F initialFaults) {
    this.endpoint = endpoint;
    faults = new FaultSettings<>(initialFaults);
  }

  @Override
  public final Future<?> start() {
    Router service = newRouter();
    addControlRoutes(service);
    service.route().handler(this::holdRequestWhileHanging);
    addServiceRoutes(service);
    servicePort = new ServicePort(vertx, service, endpoint.host(), endpoint.port());
    return servicePort
        .open()
        .onSuccess(opened -> port = opened)
        .compose(opened -> openAdminPort())
        .onSuccess(
            opened -> {
              onStarted();
              applyFaults();
            });
  }

  /**
   * Returns the port of the simulated service.
   *
   * @return TCP port, or -1 before the deployment has completed
   */
  public int port() {
    return port;
  }

  /**
   * Returns the admin port, which serves faults and counters only.
   *
   * @return TCP port, or -1 if none is configured or the deployment has not completed
   */
  public int adminPort() {
    return adminPort;
  }

  /** Called once after the ports have been opened. */
  protected void onStarted() {}

  /** Called after each change of the faults, and once after {@link #onStarted}. */
  protected void onFaultsChanged() {}

  /**
   * Adds the routes that tests use to set faults and read counters. Faults don't affect them.
   *
   * @param router router of the service port or of the admin port
   */
  protected void addControlRoutes(Router router) {
    router.get("/faults").handler(this::handleShowFaults);
    router.post("/faults").handler(this::handleChangeFaults);
    router.delete("/faults").handler(this::handleResetFaults);
  }

  /**
   * Adds the routes of the simulated protocol, which hang or fail according to the faults.
   *
   * @param router router of the service port
   */
  protected abstract void addServiceRoutes(Router router);

  /** Resets all connections and refuses new ones until {@link #reopenAfterCrash} is called. */
  protected final void dropConnections() {
    servicePort.drop(ServicePort.Reason.CRASH);
  }

  /** Accepts connections again after a simulated crash, unless a fault still refuses them. */
  protected final void reopenAfterCrash() {
    servicePort.reopen(ServicePort.Reason.CRASH);
  }

  /**
   * Runs an action on the event loop after a delay.
   *
   * @param delayMs delay in milliseconds; the action runs before this method returns if it is 0 or
   *     less
   * @param action action to run
   */
  protected final void runAfter(long delayMs, Runnable action) {
    if (delayMs <= 0) {
      action.run();
    } else {
      vertx.setTimer(delayMs, timer -> action.run());
    }
  }

  /**
   * Sends a JSON response, unless the response has ended or its connection is closed.
   *
   * @param context request to respond to
   * @param status HTTP status
   * @param body value or JSON tree to serialize
   */
  protected static void reply(RoutingContext context, int status, Object body) {
    if (context.response().closed() || context.response().ended()) {
      return;
    }
    context
        .response()
        .setStatusCode(status)
        .putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
        .end(Json.write(body));
  }

  /**
   * Sends a JSON response with an error.
   *
   * @param context request to respond to
   * @param status HTTP status
   * @param error value of the member {@code error}
   */
  protected static void replyError(RoutingContext context, int status, String error) {
    reply(context, status, Json.object().put("error", error));
  }

  /**
   * Parses a non-negative integer from the query of a request.
   *
   * @param context request that has the query
   * @param name name of the query parameter
   * @param defaultValue returned if the parameter is absent
   * @return parsed or default value
   * @throws InvalidInputException if the parameter is not an integer or is negative
   */
  protected static long parseQueryNumber(RoutingContext context, String name, long defaultValue) {
    String text = context.request().getParam(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      long number = Long.parseLong(text);
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      throw new InvalidInputException(name + " is not a number: " + text, e);
    }
    throw new InvalidInputException(name + " is negative: " + text);
  }

  /**
   * Returns the body of a request as text.
   *
   * @param context request whose body was read
   * @return body, or an empty string if the request has none
   */
  protected static String bodyText(RoutingContext context) {
    String body = context.body().asString();
    return body == null ? "" : body;
  }

  private Router newRouter() {
    Router router = Router.router(vertx);
    router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
    router.route().failureHandler(StandIn::replyFailure);
    return router;
  }

  private static void replyFailure(RoutingContext context) {
    if (context.failure() instanceof InvalidInputException invalid) {
      replyError(context, 400, String.valueOf(invalid.getMessage()));
    } else if (context.failure() == null) {
      replyError(context, context.statusCode(), "http_" + context.statusCode());
    } else {
      LOG.error("unexpected error while handling a request", context.failure());
      replyError(context, 500, "internal_error");
    }
  }

  private Future<?> openAdminPort() {
    if (endpoint.adminPort().isEmpty()) {
      return Future.succeededFuture();
    }
    Router admin = newRouter();
    addControlRoutes(admin);
    return vertx
        .createHttpServer()
        .requestHandler(admin)
        .listen(endpoint.adminPort().getAsInt(), endpoint.host())
        .onSuccess((HttpServer server) -> adminPort = server.actualPort());
  }

  private void holdRequestWhileHanging(RoutingContext context) {
    if (faults.current().hang()) {
      heldRequests.add(context);
    } else {
      context.next();
    }
  }

  private void handleShowFaults(RoutingContext context) {
    reply(context, 200, faults.current());
  }

  private void handleChangeFaults(RoutingContext context) {
    ObjectNode changes = Json.parseObject(bodyText(context));
    faults.merge(changes);
    reply(context, 200, faults.current());
    applyFaults();
  }

  private void handleResetFaults(RoutingContext context) {
    faults.reset();
    servicePort.reopen(ServicePort.Reason.REFUSAL);
    reply(context, 200, faults.current());
    applyFaults();
  }

  private void applyFaults() {
    long refusalMs = faults.current().refuseConnectionsMs();
    if (refusalMs > 0) {
      faults.disableOneTimeFault("refuse_connections_ms", 0);
      servicePort.drain(ServicePort.Reason.REFUSAL);
      vertx.setTimer(refusalMs, timer -> servicePort.reopen(ServicePort.Reason.REFUSAL));
    }
    if (!faults.current().hang()) {
      List<RoutingContext> released = List.copyOf(heldRequests);
      heldRequests.clear();
      released.forEach(RoutingContext::next);
    }
    onFaultsChanged();
  }
}
