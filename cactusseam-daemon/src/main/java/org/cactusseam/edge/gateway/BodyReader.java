package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/** Reads the body of a request up to a limit. What is longer is dropped and reported. */
final class BodyReader {

  private final HttpServerRequest request;
  private final int limit;
  private final Buffer body = Buffer.buffer();
  private boolean tooLong;

  BodyReader(HttpServerRequest request, int limit) {
    this.request = request;
    this.limit = limit;
  }

  /** Returns the body, nothing if it is too long; fails if the caller breaks off. */
  Future<Optional<Buffer>> read() {
    Promise<Optional<Buffer>> promise = Promise.promise();
    request.handler(this::take);
    request.exceptionHandler(promise::tryFail);
    request.endHandler(
        ended -> promise.tryComplete(tooLong ? Optional.empty() : Optional.of(body)));
    return promise.future();
  }

  private void take(Buffer part) {
    tooLong = tooLong || body.length() + part.length() > limit;
    if (!tooLong) {
      body.appendBuffer(part);
    }
  }
}
