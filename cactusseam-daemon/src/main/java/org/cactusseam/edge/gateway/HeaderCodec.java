package org.cactusseam.edge.gateway;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.ServerCall;
import org.cactusseam.model.gateway.ServerReply;

/**
 * Decodes and encodes the headers and paths of a platform. Implemented by the platform's adapter.
 */
public interface HeaderCodec {

  /**
   * Decodes the head of a caller's request.
   *
   * @param request request of a caller
   * @return decoded request, or the reason why it is malformed
   */
  Either<String, CallerRequest> decode(HttpServerRequest request);

  /**
   * Builds the headers of the request to a backend server. Headers that only this system may set
   * are never copied from the caller.
   *
   * @param callerHeaders headers as the caller sent them
   * @param call values that the gateway adds
   * @return headers to send
   */
  MultiMap encode(MultiMap callerHeaders, ServerCall call);

  /**
   * Decodes the head of a backend server's response.
   *
   * @param status HTTP status
   * @param headers headers of the response
   * @param attemptId identifier of the attempt that was sent
   * @param serverId identifier of the server to which it was sent
   * @return decoded head
   */
  ServerReply decode(int status, MultiMap headers, String attemptId, String serverId);

  /**
   * Builds the headers of the response to the caller.
   *
   * @param serverHeaders headers as the server sent them
   * @return headers to send
   */
  MultiMap responseHeaders(MultiMap serverHeaders);
}
