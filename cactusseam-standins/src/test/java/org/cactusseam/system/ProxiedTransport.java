package org.cactusseam.system;

import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.internal.VertxBootstrap;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.spi.VertxServiceProvider;
import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Makes a daemon under test connect to proxies instead of the ports of its peers. Daemons learn the
 * addresses of their peers from the control log, which is the same for all of them, so settings
 * alone cannot place a proxy between two daemons. Without the system property, the transport is
 * unchanged.
 */
public final class ProxiedTransport implements VertxServiceProvider {

  private static final String PROPERTY = "cactusseam.test.relays";

  /**
   * Returns the JVM option that redirects connections to proxies.
   *
   * @param proxies port of the proxy by the port that it replaces
   * @return definition of the system property
   */
  static String jvmOption(Map<Integer, Integer> proxies) {
    return "-D"
        + PROPERTY
        + "="
        + proxies.entrySet().stream()
            .map(entry -> entry.getKey() + ":" + entry.getValue())
            .collect(Collectors.joining(","));
  }

  @Override
  public void init(VertxBootstrap bootstrap) {
    String proxies = System.getProperty(PROPERTY, "");
    if (!proxies.isEmpty()) {
      bootstrap.transport(
          new RedirectingTransport(
              Arrays.stream(proxies.split(","))
                  .map(pair -> pair.split(":"))
                  .collect(
                      Collectors.toMap(
                          pair -> Integer.valueOf(pair[0]), pair -> Integer.valueOf(pair[1])))));
    }
  }

  private static final class RedirectingTransport extends NioTransport {

    private final Map<Integer, Integer> proxies;

    private RedirectingTransport(Map<Integer, Integer> proxies) {
      this.proxies = proxies;
    }

    @Override
    public java.net.SocketAddress convert(SocketAddress address) {
      Integer proxyPort = proxies.get(address.port());
      return super.convert(
          proxyPort == null ? address : SocketAddress.inetSocketAddress(proxyPort, address.host()));
    }
  }
}
