package org.cactusseam.edge.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/** Reads a request body up to a size limit. A longer body is discarded and reported as such. */
final class BodyReader {

  private final HttpServerRequest request;
  private final int limit;
  private final Buffer body = Buffer.buffer();
  private boolean isTooLong;

  BodyReader(HttpServerRequest request, int limit) {
    this.request = request;
    this.limit = limit;
  }

  /**
   * Returns the body, or empty if it exceeds the limit. Fails if the connection is closed before
   * the end of the body.
   */
  Future<Optional<Buffer>> read() {
    Promise<Optional<Buffer>> promise = Promise.promise();
    request.handler(this::append);
    request.exceptionHandler(promise::tryFail);
    request.endHandler(
        ended -> promise.tryComplete(isTooLong ? Optional.empty() : Optional.of(body)));
    return promise.future();
  }

  private void append(Buffer part) {
    isTooLong = isTooLong || body.length() + part.length() > limit;
    if (!isTooLong) {
      body.appendBuffer(part);
    }
  }
}
