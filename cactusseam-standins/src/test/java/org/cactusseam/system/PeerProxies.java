package org.cactusseam.system;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cactusseam.standin.FreePorts;

/**
 * TCP proxies for both directions between all pairs of daemons, so that a test can interrupt any
 * set of links.
 */
final class PeerProxies implements AutoCloseable {

  /**
   * A link from one daemon to another.
   *
   * @param from daemon that opens connections
   * @param to daemon that accepts them
   */
  record Link(String from, String to) {

    boolean involves(String entry) {
      return from.equals(entry) || to.equals(entry);
    }
  }

  private final Map<String, Integer> peerPorts = new HashMap<>();
  private final Map<Link, TcpProxy> proxies = new HashMap<>();

  PeerProxies(List<String> entries) {
    entries.forEach(entry -> peerPorts.put(entry, FreePorts.next()));
    for (String from : entries) {
      for (String to : entries) {
        if (!from.equals(to)) {
          proxies.put(new Link(from, to), new TcpProxy(peerPorts.get(to)));
        }
      }
    }
  }

  int peerPort(String entry) {
    return peerPorts.get(entry);
  }

  /** Returns the JVM option that makes a daemon connect to its peers through the proxies. */
  String jvmOption(String entry) {
    Map<Integer, Integer> ports = new HashMap<>();
    proxies.forEach(
        (link, proxy) -> {
          if (link.from.equals(entry)) {
            ports.put(peerPorts.get(link.to), proxy.port());
          }
        });
    return ProxiedTransport.jvmOption(ports);
  }

  List<TcpProxy> select(Predicate<Link> chosen) {
    return proxies.entrySet().stream()
        .filter(entry -> chosen.test(entry.getKey()))
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Returns whether every daemon has connected to every other one through the proxy. */
  boolean areAllProxiesUsed() {
    return proxies.values().stream().allMatch(TcpProxy::wasUsed);
  }

  @Override
  public void close() {
    proxies.values().forEach(TcpProxy::close);
  }
}
