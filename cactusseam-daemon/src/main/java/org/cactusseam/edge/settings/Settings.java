package org.cactusseam.edge.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;

/**
 * Checked settings of an entry daemon. {@code docs/settings.md} describes each value; {@link
 * SettingsLoader} reads them.
 *
 * @param deployment name of the deployment, which peers must share
 * @param node name of the entry daemon
 * @param failureDomain failure domain of its VM
 * @param region region of its VM
 * @param addresses where it listens
 * @param keys keys that it checks and signs with
 * @param tls certificates of its listeners
 * @param platform services of the platform
 * @param limits limits against overload by callers
 * @param shutdown times of a graceful shutdown
 * @param admission settings of admission shards
 * @param logging settings of the log output
 */
public record Settings(
    String deployment,
    NodeName node,
    FailureDomainName failureDomain,
    RegionName region,
    Addresses addresses,
    Keys keys,
    Tls tls,
    Platform platform,
    Limits limits,
    Shutdown shutdown,
    Admission admission,
    Logging logging) {

  /**
   * An address to listen on.
   *
   * @param host IP address
   * @param port TCP port
   */
  public record Endpoint(String host, int port) {

    @Override
    public String toString() {
      return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
    }
  }

  /**
   * Addresses of the listeners.
   *
   * @param caller for callers
   * @param operator for operators and the scraper
   * @param peer for other entry daemons; they connect to this address
   */
  public record Addresses(Endpoint caller, Endpoint operator, Endpoint peer) {}

  /**
   * Keys.
   *
   * @param cluster key that entry daemons prove to each other and sign generation identities with
   * @param operators keys of operators
   */
  public record Keys(Secret cluster, List<OperatorKey> operators) {

    /** Copies the list. */
    public Keys {
      operators = List.copyOf(operators);
    }
  }

  /**
   * An operator who may send commands.
   *
   * @param name name, recorded with each command
   * @param sha256 SHA-256 of the key, in lower-case hexadecimal digits
   */
  public record OperatorKey(String name, String sha256) {

    @Override
    public String toString() {
      return "OperatorKey[name=" + name + ", sha256=***]";
    }
  }

  /**
   * Certificates of the listeners; a listener without one does not use TLS.
   *
   * @param caller for callers
   * @param operator for operators
   */
  public record Tls(Optional<Certificate> caller, Optional<Certificate> operator) {}

  /**
   * A certificate with its private key, both as the PEM text of their files.
   *
   * @param chain certificate chain
   * @param privateKey private key
   */
  public record Certificate(Secret chain, Secret privateKey) {}

  /**
   * Services of the platform.
   *
   * @param logUrl base URL of the log
   * @param controlStream stream of configuration and membership
   * @param claimsStream stream of at-most-once claims
   * @param retention how long the log keeps records
   * @param vmListUrl base URL of the VM list
   * @param vmListLag longest time by which the VM list lags behind
   * @param weightStoreInterval time between two orders to backend servers, which load from the
   *     weight store
   */
  public record Platform(
      URI logUrl,
      String controlStream,
      String claimsStream,
      Duration retention,
      URI vmListUrl,
      Duration vmListLag,
      Duration weightStoreInterval) {}

  /**
   * Limits against overload by callers.
   *
   * @param bodyBytes largest request body
   * @param headerBytes largest sum of request headers
   * @param eventsPerStream events that are held for a caller who reads slowly
   * @param concurrentRequests requests that are served at the same time
   * @param slowReaderTimeout how long a caller may leave a full buffer unread
   */
  public record Limits(
      int bodyBytes,
      int headerBytes,
      int eventsPerStream,
      int concurrentRequests,
      Duration slowReaderTimeout) {}

  /**
   * Times of a graceful shutdown.
   *
   * @param grace how long new requests are still served after the readiness check fails
   * @param drain how long running streams may take to end after that
   */
  public record Shutdown(Duration grace, Duration drain) {}

  /**
   * Settings of admission shards.
   *
   * @param preset measured set of values
   */
  public record Admission(AdmissionPreset preset) {}

  /**
   * Measured sets of values for admission, named after the deployments that they were measured for.
   */
  public enum AdmissionPreset {
    /** Weighs preemptions and stall time most. */
    ZOPFWERK,
    /** Weighs tail latency between tokens and service during changes of failure domains most. */
    FLAGLINE
  }

  /**
   * Settings of the log output.
   *
   * @param level least severe level that is written
   * @param format format of a line
   */
  public record Logging(LogLevel level, LogFormat format) {}

  /** Levels of log lines, from severe to detailed. */
  public enum LogLevel {
    /** Faults that need an operator. */
    ERROR,
    /** Faults that the daemon handles. */
    WARN,
    /** Changes of state. */
    INFO,
    /** Steps of single requests. */
    DEBUG,
    /** Single messages. */
    TRACE
  }

  /** Formats of log lines. */
  public enum LogFormat {
    /** One JSON object a line, for machines. */
    JSON,
    /** Plain text, for people. */
    TEXT
  }
}
