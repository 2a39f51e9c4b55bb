package org.cactusseam.edge.gateway;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.ServerCall;
import org.cactusseam.model.gateway.ServerReply;

/** Names of headers and paths of a platform, decoded and encoded by its adapter. */
public interface HeaderCodec {

  /**
   * Decodes the head of a caller's request.
   *
   * @param request request
   * @return the request, or the reason why it is malformed
   */
  Either<String, CallerRequest> decode(HttpServerRequest request);

  /**
   * Makes the headers of the request to a backend server. Headers that the system sets itself are
   * never taken over from the caller.
   *
   * @param callerHeaders headers as the caller sent them
   * @param call what the gateway adds
   * @return headers
   */
  MultiMap encode(MultiMap callerHeaders, ServerCall call);

  /**
   * Decodes the head of a backend server's answer.
   *
   * @param status HTTP status
   * @param headers headers of the answer
   * @param attemptId attempt that was sent
   * @return decoded head
   */
  ServerReply decode(int status, MultiMap headers, String attemptId);

  /**
   * Makes the headers of the answer to the caller.
   *
   * @param serverHeaders headers as the server sent them
   * @return headers
   */
  MultiMap answerHeaders(MultiMap serverHeaders);
}
