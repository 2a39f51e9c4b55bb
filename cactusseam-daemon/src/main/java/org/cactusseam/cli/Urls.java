package org.cactusseam.cli;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.Optional;

/** Creates HTTP requests to paths below the base URL of a daemon. */
final class Urls {

  private Urls() {}

  /**
   * Creates an authenticated request.
   *
   * @param server base URL of the daemon
   * @param method HTTP method
   * @param path path below the base URL, starting with a slash
   * @param key API key, sent as a bearer token
   * @return request options for the HTTP client
   */
  static RequestOptions request(URI server, HttpMethod method, String path, String key) {
    boolean secure = "https".equals(server.getScheme());
    int standardPort = secure ? 443 : 80;
    String base = Optional.ofNullable(server.getPath()).orElse("").replaceAll("/+$", "");
    return new RequestOptions()
        .setMethod(method)
        .setHost(host(server))
        .setPort(server.getPort() < 0 ? standardPort : server.getPort())
        .setSsl(secure)
        .setURI(base + path)
        .putHeader("Authorization", "Bearer " + key);
  }

  private static String host(URI server) {
    // URI keeps the brackets of IPv6 addresses, which the HTTP client does not accept.
    return server.getHost().replaceAll("[\\[\\]]", "");
  }
}
