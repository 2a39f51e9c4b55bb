package org.cactusseam.cli;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.util.Optional;

/** Requests to paths below the URL of a daemon. */
final class Urls {

  private Urls() {}

  /**
   * Makes a request.
   *
   * @param server URL of the daemon
   * @param method method
   * @param path path, starting with a slash
   * @param key key of the sender
   * @return options of the HTTP client
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
    // URI keeps the brackets of IPv6 addresses, which the client does not take.
    return server.getHost().replaceAll("[\\[\\]]", "");
  }
}
