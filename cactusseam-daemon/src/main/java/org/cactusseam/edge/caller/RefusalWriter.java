package org.cactusseam.edge.caller;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import org.cactusseam.model.Refusal;

/** Writes refusals to callers, as an HTTP error or as the last event of a stream that has begun. */
final class RefusalWriter {

  private static final long MILLIS_PER_SECOND = 1_000;

  private RefusalWriter() {}

  static void write(HttpServerResponse response, Refusal refusal) {
    if (response.ended() || response.closed()) {
      return;
    }
    String body = body(refusal).encode();
    if (response.headWritten()) {
      response.end("event: error\ndata: " + body + "\n\n");
      return;
    }
    response.setStatusCode(refusal.code().httpStatus());
    response.putHeader("Content-Type", "application/json");
    if (!refusal.retryAfter().isZero()) {
      long millis = refusal.retryAfter().toMillis();
      long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.putHeader("Retry-After", Long.toString(seconds));
    }
    response.end(body);
  }

  static JsonObject body(Refusal refusal) {
    JsonObject error =
        new JsonObject()
            .put("code", refusal.code().number())
            .put("name", refusal.code().name())
            .put("message", refusal.detail())
            .put("execution", refusal.code().execution().name().toLowerCase(Locale.ROOT))
            .put("retry_after_ms", refusal.retryAfter().toMillis());
    return new JsonObject().put("error", error);
  }
}
