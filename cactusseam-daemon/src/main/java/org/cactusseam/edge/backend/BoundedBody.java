package org.cactusseam.edge.backend;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads response bodies up to a size limit. A faulty server may send bytes without end, and a
 * response that is buffered without a limit fills the memory of the process.
 */
public final class BoundedBody {

  /** The body of a response is longer than its limit. */
  public static final class BodyTooLongException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BodyTooLongException(int limitBytes) {
      super("the body is longer than " + limitBytes + " bytes");
    }
  }

  private BoundedBody() {}

  /**
   * Reads the body of a response. Closes the connection if the body exceeds the limit.
   *
   * @param response response whose body has not been read yet
   * @param limitBytes maximum length of the body
   * @return complete body; fails with {@link BodyTooLongException}, or with the cause if the
   *     response breaks off
   */
  public static Future<Buffer> read(HttpClientResponse response, int limitBytes) {
    Promise<Buffer> promise = Promise.promise();
    Buffer body = Buffer.buffer();
    response.exceptionHandler(promise::tryFail);
    response.endHandler(ended -> promise.tryComplete(body));
    response.handler(
        part -> {
          if (promise.future().isComplete()) {
            return;
          }
          if (part.length() > limitBytes - body.length()) {
            promise.tryFail(new BodyTooLongException(limitBytes));
            response.request().connection().close();
          } else {
            body.appendBuffer(part);
          }
        });
    return promise.future();
  }
}
