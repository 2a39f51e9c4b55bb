package org.cactusseam.logic.query;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.Optional;

/**
 * IP address and TCP port of a server.
 *
 * @param host IPv4 or IPv6 address, without brackets
 * @param port TCP port
 */
public record Address(String host, int port) {

  /**
   * Parses an address such as {@code 10.0.0.1:8080} or {@code [2001:db8::1]:8080}. Host names are
   * not accepted.
   *
   * @param text text to parse
   * @return the address, or empty if the text is not a valid address
   */
  public static Optional<Address> parse(String text) {
    try {
      HostAndPort parsed = HostAndPort.fromString(text).requireBracketsForIPv6();
      return parsed.hasPort()
              && parsed.getPort() > 0
              && InetAddresses.isInetAddress(parsed.getHost())
          ? Optional.of(new Address(parsed.getHost(), parsed.getPort()))
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return HostAndPort.fromParts(host, port).toString();
  }
}
