package org.cactusseam.system;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.cactusseam.standin.FreePorts;

/** A relay for each direction between each two daemons, so that a test can cut any set of links. */
final class PeerProxies implements AutoCloseable {

  /**
   * A connection between two daemons.
   *
   * @param from daemon that dials
   * @param to daemon that is dialled
   */
  record Link(String from, String to) {

    boolean touches(String entry) {
      return from.equals(entry) || to.equals(entry);
    }
  }

  private final Map<String, Integer> peerPorts = new HashMap<>();
  private final Map<Link, TcpProxy> relays = new HashMap<>();

  PeerProxies(List<String> entries) {
    entries.forEach(entry -> peerPorts.put(entry, FreePorts.next()));
    for (String from : entries) {
      for (String to : entries) {
        if (!from.equals(to)) {
          relays.put(new Link(from, to), new TcpProxy(peerPorts.get(to)));
        }
      }
    }
  }

  int peerPort(String entry) {
    return peerPorts.get(entry);
  }

  /** Returns the option that makes the process of a daemon dial the relays. */
  String option(String entry) {
    Map<Integer, Integer> ports = new HashMap<>();
    relays.forEach(
        (link, relay) -> {
          if (link.from.equals(entry)) {
            ports.put(peerPorts.get(link.to), relay.port());
          }
        });
    return ProxiedTransport.option(ports);
  }

  List<TcpProxy> select(Predicate<Link> chosen) {
    return relays.entrySet().stream()
        .filter(entry -> chosen.test(entry.getKey()))
        .map(Map.Entry::getValue)
        .toList();
  }

  /** Returns whether every daemon reached every other through its relay. */
  boolean areAllUsed() {
    return relays.values().stream().allMatch(TcpProxy::wasUsed);
  }

  @Override
  public void close() {
    relays.values().forEach(TcpProxy::close);
  }
}
