package org.cactusseam.system;

import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.internal.VertxBootstrap;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.spi.VertxServiceProvider;
import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Makes a daemon under test dial relays instead of the ports that it knows its peers by. Daemons
 * learn the addresses of their peers from the control log, which is the same for all of them, so
 * settings alone cannot put a relay between two of them. Without the property nothing changes.
 */
public final class ProxiedTransport implements VertxServiceProvider {

  private static final String PROPERTY = "cactusseam.test.relays";

  /**
   * Returns the option of the Java process that makes it dial relays.
   *
   * @param relays port of the relay by the port that it stands for
   * @return option
   */
  static String option(Map<Integer, Integer> relays) {
    return "-D"
        + PROPERTY
        + "="
        + relays.entrySet().stream()
            .map(entry -> entry.getKey() + ":" + entry.getValue())
            .collect(Collectors.joining(","));
  }

  @Override
  public void init(VertxBootstrap bootstrap) {
    String relays = System.getProperty(PROPERTY, "");
    if (!relays.isEmpty()) {
      bootstrap.transport(
          new Transport(
              Arrays.stream(relays.split(","))
                  .map(pair -> pair.split(":"))
                  .collect(
                      Collectors.toMap(
                          pair -> Integer.valueOf(pair[0]), pair -> Integer.valueOf(pair[1])))));
    }
  }

  private static final class Transport extends NioTransport {

    private final Map<Integer, Integer> relays;

    private Transport(Map<Integer, Integer> relays) {
      this.relays = relays;
    }

    @Override
    public java.net.SocketAddress convert(SocketAddress address) {
      Integer relay = relays.get(address.port());
      return super.convert(
          relay == null ? address : SocketAddress.inetSocketAddress(relay, address.host()));
    }
  }
}
