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
 * A simulated outside system. It runs as a verticle, so all its state belongs to one event loop.
 *
 * <p>Routes for faults and counters are served on the service port and, if there is one, on the
 * admin port; they answer even while the service hangs.
 *
 * @param <F> record of faults
 */
public abstract class StandIn<F extends Record & Faults> extends VerticleBase {

  private static final Logger LOG = Logger.getLogger(StandIn.class);
  private static final long BODY_LIMIT_BYTES = 8 << 20;
  private static final int NOT_LISTENING = -1;

  /** Faults in force. */
  protected final FaultSettings<F> faults;

  private final Endpoint endpoint;
  private final List<RoutingContext> held = new ArrayList<>();
  private ServicePort servicePort;
  private volatile int port = NOT_LISTENING;
  private volatile int adminPort = NOT_LISTENING;

  /**
   * Creates the stand-in; it listens after its deployment.
   *
   * @param endpoint where it listens
   * @param initialFaults faults in force from the start
   */
  @SuppressWarnings("NullAway.Init") // the port needs the Vert.x instance of the deployment
  protected StandIn(Endpoint endpoint, F initialFaults) {
    this.endpoint = endpoint;
    faults = new FaultSettings<>(initialFaults);
  }

  @Override
  public final Future<?> start() {
    Router service = newRouter();
    addControlRoutes(service);
    service.route().handler(this::holdWhileHanging);
    addServiceRoutes(service);
    servicePort = new ServicePort(vertx, service, endpoint.host(), endpoint.port());
    return servicePort
        .open()
        .onSuccess(opened -> port = opened)
        .compose(opened -> openAdminPort())
        .onSuccess(
            opened -> {
              started();
              applyFaults();
            });
  }

  /**
   * Returns the port of the service.
   *
   * @return the port, valid after the deployment
   */
  public int port() {
    return port;
  }

  /**
   * Returns the port for faults and counters.
   *
   * @return the port, or -1 if the endpoint has none
   */
  public int adminPort() {
    return adminPort;
  }

  /** Called once when the ports are open. */
  protected void started() {}

  /** Called when faults have changed, and once after the start. */
  protected void faultsChanged() {}

  /**
   * Adds routes for tests, which no fault affects.
   *
   * @param router router of the service or admin port
   */
  protected void addControlRoutes(Router router) {
    router.get("/faults").handler(this::showFaults);
    router.post("/faults").handler(this::changeFaults);
    router.delete("/faults").handler(this::resetFaults);
  }

  /**
   * Adds the routes of the simulated protocol.
   *
   * @param router router of the service port
   */
  protected abstract void addServiceRoutes(Router router);

  /** Drops every connection and refuses new ones until {@link #reopenAfterCrash}. */
  protected final void dropConnections() {
    servicePort.drop(ServicePort.Reason.CRASH);
  }

  /** Accepts connections again. */
  protected final void reopenAfterCrash() {
    servicePort.reopen(ServicePort.Reason.CRASH);
  }

  /**
   * Runs an action after a delay, immediately if the delay is 0.
   *
   * @param delayMs delay in milliseconds
   * @param action action
   */
  protected final void after(long delayMs, Runnable action) {
    if (delayMs <= 0) {
      action.run();
    } else {
      vertx.setTimer(delayMs, timer -> action.run());
    }
  }

  /**
   * Sends a JSON answer, unless the connection is gone.
   *
   * @param context request
   * @param status HTTP status
   * @param body value or tree
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
   * Sends an error.
   *
   * @param context request
   * @param status HTTP status
   * @param error name of the error
   */
  protected static void replyError(RoutingContext context, int status, String error) {
    reply(context, status, Json.object().put("error", error));
  }

  /**
   * Reads a number from the query of a request.
   *
   * @param context request
   * @param name name of the parameter
   * @param defaultValue value if the parameter is absent
   * @return the number
   * @throws InvalidInputException if the parameter is no number of at least 0
   */
  protected static long queryNumber(RoutingContext context, String name, long defaultValue) {
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
      throw new InvalidInputException(name + " is no number: " + text, e);
    }
    throw new InvalidInputException(name + " is negative: " + text);
  }

  /**
   * Returns the body of a request as text.
   *
   * @param context request
   * @return the text; empty if there is no body
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
      LOG.error("request failed", context.failure());
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

  private void holdWhileHanging(RoutingContext context) {
    if (faults.current().hang()) {
      held.add(context);
    } else {
      context.next();
    }
  }

  private void showFaults(RoutingContext context) {
    reply(context, 200, faults.current());
  }

  private void changeFaults(RoutingContext context) {
    ObjectNode changes = Json.parseObject(bodyText(context));
    faults.merge(changes);
    reply(context, 200, faults.current());
    applyFaults();
  }

  private void resetFaults(RoutingContext context) {
    faults.reset();
    servicePort.reopen(ServicePort.Reason.REFUSAL);
    reply(context, 200, faults.current());
    applyFaults();
  }

  private void applyFaults() {
    long refusalMs = faults.current().refuseConnectionsMs();
    if (refusalMs > 0) {
      faults.markDone("refuse_connections_ms", 0);
      servicePort.drain(ServicePort.Reason.REFUSAL);
      vertx.setTimer(refusalMs, timer -> servicePort.reopen(ServicePort.Reason.REFUSAL));
    }
    if (!faults.current().hang()) {
      List<RoutingContext> released = List.copyOf(held);
      held.clear();
      released.forEach(RoutingContext::next);
    }
    faultsChanged();
  }
}
