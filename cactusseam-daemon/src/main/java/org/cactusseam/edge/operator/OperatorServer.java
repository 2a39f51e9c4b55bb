package org.cactusseam.edge.operator;

import com.google.common.hash.Hashing;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.UUID;
import org.cactusseam.edge.answer.OperatorAnswer;
import org.cactusseam.edge.control.CommandResult;
import org.cactusseam.edge.control.ControlPlane;
import org.cactusseam.edge.metrics.RequestMetrics;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.model.ResultCode;

/**
 * HTTP server for operators: authenticates them, executes their commands and exposes the metrics.
 */
public final class OperatorServer extends VerticleBase {

  private static final String BEARER = "Bearer ";
  private static final int MAXIMUM_BODY_BYTES = 64 * 1024;
  private static final int MAXIMUM_ID_CHARACTERS = 100;
  private static final String OPERATOR = "operator";

  private final Settings settings;
  private final ControlPlane control;
  private final RequestMetrics metrics;

  /**
   * Creates a server that does not listen yet.
   *
   * @param settings settings of this daemon, with address, certificate and operators' keys
   * @param control control plane that executes the commands
   * @param metrics metrics to expose
   */
  public OperatorServer(Settings settings, ControlPlane control, RequestMetrics metrics) {
    this.settings = settings;
    this.control = control;
    this.metrics = metrics;
  }

  @Override
  public Future<?> start() {
    HttpServerOptions options = new HttpServerOptions().setCompressionSupported(true);
    settings.tls().operator().ifPresent(certificate -> useTls(options, certificate));
    Router router = Router.router(vertx);
    router.route().handler(this::authenticate);
    router.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES));
    router.post("/operator/commands").handler(this::handleCommand);
    router.get("/metrics").handler(this::handleMetrics);
    Settings.Endpoint endpoint = settings.addresses().operator();
    return vertx
        .createHttpServer(options)
        .requestHandler(router)
        .listen(endpoint.port(), endpoint.host());
  }

  private static void useTls(HttpServerOptions options, Settings.Certificate certificate) {
    options
        .setSsl(true)
        .setKeyCertOptions(
            new PemKeyCertOptions()
                .setCertValue(Buffer.buffer(certificate.chain().bytes()))
                .setKeyValue(Buffer.buffer(certificate.privateKey().bytes())));
  }

  private void authenticate(RoutingContext context) {
    Optional<String> operator =
        Optional.ofNullable(context.request().getHeader("Authorization"))
            .filter(value -> value.startsWith(BEARER))
            .flatMap(value -> findOperator(value.substring(BEARER.length()).trim()));
    if (operator.isEmpty()) {
      refuse(context, ResultCode.UNAUTHENTICATED, "missing or unknown operator key");
      return;
    }
    context.put(OPERATOR, operator.get());
    context.next();
  }

  private Optional<String> findOperator(String key) {
    byte[] hash = utf8Bytes(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
    return settings.keys().operators().stream()
        .filter(known -> MessageDigest.isEqual(utf8Bytes(known.sha256()), hash))
        .map(Settings.OperatorKey::name)
        .findFirst();
  }

  private static byte[] utf8Bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private void handleCommand(RoutingContext context) {
    JsonObject body = parseBody(context);
    if (!(body.getValue("command") instanceof String command)) {
      refuse(
          context,
          ResultCode.MALFORMED_REQUEST,
          "the request body has no string field \"command\"");
      return;
    }
    OperatorAnswer.Format format =
        "json".equals(body.getValue("format"))
            ? OperatorAnswer.Format.JSON
            : OperatorAnswer.Format.TABLE;
    String commandId = String.valueOf(body.getValue("command_id", UUID.randomUUID().toString()));
    if (commandId.isEmpty() || commandId.length() > MAXIMUM_ID_CHARACTERS) {
      refuse(context, ResultCode.MALFORMED_REQUEST, "command_id must have 1 to 100 characters");
      return;
    }
    String operator = context.get(OPERATOR);
    control
        .execute(command, commandId, operator)
        .onSuccess(result -> respond(context, result, format))
        .onFailure(cause -> refuse(context, ResultCode.INTERNAL_ERROR, "internal error"));
  }

  private static JsonObject parseBody(RoutingContext context) {
    try {
      return Optional.ofNullable(context.body().asJsonObject()).orElseGet(JsonObject::new);
    } catch (DecodeException | ClassCastException e) {
      return new JsonObject();
    }
  }

  private static void refuse(RoutingContext context, ResultCode code, String message) {
    respond(context, code, OperatorAnswer.of(code, message));
  }

  private static void respond(
      RoutingContext context, CommandResult result, OperatorAnswer.Format format) {
    OperatorAnswer operatorAnswer =
        result
            .table()
            .map(table -> withMessage(OperatorAnswer.of(table, format), result.message()))
            .orElseGet(() -> OperatorAnswer.of(result.code(), result.message()));
    respond(context, result.code(), operatorAnswer);
  }

  private static OperatorAnswer withMessage(OperatorAnswer operatorAnswer, String message) {
    return message.isEmpty()
        ? operatorAnswer
        : new OperatorAnswer(
            operatorAnswer.code(),
            operatorAnswer.name(),
            operatorAnswer.message() + ", " + message,
            operatorAnswer.output(),
            operatorAnswer.rows());
  }

  private static void respond(
      RoutingContext context, ResultCode code, OperatorAnswer operatorAnswer) {
    context
        .response()
        .setStatusCode(code.httpStatus())
        .putHeader("Content-Type", "application/json")
        .end(operatorAnswer.toJson());
  }

  private void handleMetrics(RoutingContext context) {
    context.response().putHeader("Content-Type", RequestMetrics.CONTENT_TYPE).end(metrics.expose());
  }
}
