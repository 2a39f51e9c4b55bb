package org.cactusseam.edge.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import org.cactusseam.edge.Json;
import org.cactusseam.edge.backend.BoundedBody;
import org.cactusseam.edge.http.HttpClients;

/** Accesses the log service over HTTP. */
public final class HttpAppendOnlyLog implements AppendOnlyLog {

  /** Limits the delay by a slow log service, because the caller of an append waits for it. */
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

  /** Time that a read may take in addition to the wait that it allows the service. */
  private static final Duration READ_TIMEOUT_MARGIN = Duration.ofMillis(1500);

  private static final int POOL_SIZE = 32;
  private static final int STATUS_OK = 200;
  private static final int STATUS_REQUEST_TIMEOUT = 408;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Maximum length of a response. A page of records has well under 1 MB. */
  private static final int MAX_RESPONSE_BYTES = 16 << 20;

  private final HttpClient client;
  private final URI base;

  /**
   * Creates a client.
   *
   * @param vertx Vert.x instance
   * @param base URI of the log service; only its host and port are used
   */
  public HttpAppendOnlyLog(Vertx vertx, URI base) {
    this.base = base;
    this.client =
        HttpClients.create(
            vertx,
            new HttpClientOptions().setConnectTimeout((int) APPEND_TIMEOUT.toMillis()),
            new PoolOptions().setHttp1MaxSize(POOL_SIZE));
  }

  @Override
  public Future<Long> append(String stream, String record) {
    return exchange(
            HttpMethod.POST,
            "/streams/" + stream + "/records",
            APPEND_TIMEOUT,
            Buffer.buffer(record))
        .map(body -> new JsonObject(body).getLong("offset"))
        .recover(cause -> Future.failedFuture(toLogException(cause)));
  }

  @Override
  public Future<LogPage> read(String stream, long from, int limit, Duration wait) {
    String query = "?from=" + from + "&limit=" + limit + "&wait_ms=" + wait.toMillis();
    return exchange(
            HttpMethod.GET,
            "/streams/" + stream + "/records" + query,
            wait.plus(READ_TIMEOUT_MARGIN),
            Buffer.buffer())
        .map(body -> Json.read(body.toString(), LogPage.class).get())
        .recover(cause -> Future.failedFuture(toLogException(cause)));
  }

  private Future<Buffer> exchange(HttpMethod method, String uri, Duration timeout, Buffer body) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(base.getHost())
            .setPort(base.getPort())
            .setURI(uri)
            .setConnectTimeout(timeout.toMillis())
            .setTimeout(timeout.toMillis());
    return client.request(options).compose(request -> request.send(body)).compose(this::readBody);
  }

  private Future<Buffer> readBody(HttpClientResponse response) {
    if (response.statusCode() != STATUS_OK) {
      return Future.failedFuture(
          new LogException(
              "the log service answered with status " + response.statusCode(),
              mayHaveTakenEffect(response.statusCode())));
    }
    return BoundedBody.read(response, MAX_RESPONSE_BYTES);
  }

  /** A client error is a rejection, apart from a timeout while the request was handled. */
  private static boolean mayHaveTakenEffect(int status) {
    return status < FIRST_CLIENT_ERROR
        || status >= FIRST_SERVER_ERROR
        || status == STATUS_REQUEST_TIMEOUT;
  }

  private static LogException toLogException(Throwable cause) {
    if (cause instanceof LogException known) {
      return known;
    }
    boolean isAmbiguous = !(cause instanceof ConnectException);
    return new LogException("no response from the log service: " + cause.getMessage(), isAmbiguous);
  }
}
