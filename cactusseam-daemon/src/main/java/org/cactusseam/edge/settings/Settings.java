package org.cactusseam.edge.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;

/**
 * Validated settings of an entry daemon, as read by {@link SettingsLoader}. {@code
 * docs/settings.md} describes each key.
 *
 * @param deployment name of the deployment, which must be the same on all peers
 * @param node name of the entry daemon
 * @param failureDomain failure domain of its VM
 * @param region region of its VM
 * @param addresses addresses that the daemon listens on
 * @param keys cluster key and keys of operators
 * @param tls certificates of the listeners
 * @param platform platform services that the daemon uses
 * @param limits limits on requests, which protect the daemon from overload
 * @param shutdown periods of a graceful shutdown
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
   * Address of a listener.
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
   * @param caller listener for callers
   * @param operator listener for operators and for the scraping of metrics
   * @param peer listener for other entry daemons, which connect to this address
   */
  public record Addresses(Endpoint caller, Endpoint operator, Endpoint peer) {}

  /**
   * Secret keys of the daemon and hashes of the keys of operators.
   *
   * @param cluster shared key with which entry daemons authenticate to each other and sign
   *     generation identities
   * @param operators operators with the hashes of their keys
   */
  public record Keys(Secret cluster, List<OperatorKey> operators) {

    /** Makes a defensive copy of the list. */
    public Keys {
      operators = List.copyOf(operators);
    }
  }

  /**
   * Operator who is authorized to send commands.
   *
   * @param name name of the operator, recorded with each command
   * @param sha256 SHA-256 of the key, in lower-case hexadecimal digits
   */
  public record OperatorKey(String name, String sha256) {

    @Override
    public String toString() {
      return "OperatorKey[name=" + name + ", sha256=***]";
    }
  }

  /**
   * Certificates of the listeners. A listener without a certificate accepts plain HTTP.
   *
   * @param caller certificate of the listener for callers
   * @param operator certificate of the listener for operators
   */
  public record Tls(Optional<Certificate> caller, Optional<Certificate> operator) {}

  /**
   * Certificate chain with its private key, both as PEM text.
   *
   * @param chain certificate chain, the certificate of the listener first
   * @param privateKey private key of the first certificate
   */
  public record Certificate(Secret chain, Secret privateKey) {}

  /**
   * Platform services that an entry daemon uses.
   *
   * @param logUrl base URL of the log service
   * @param controlStream log stream of configuration and membership records
   * @param claimsStream log stream of at-most-once claims
   * @param retention period for which the log keeps records
   * @param vmListUrl base URL of the VM list service
   * @param vmListLag maximum staleness of the VM list
   * @param weightStoreInterval minimum time between orders to backend servers that make them load
   *     from the weight store
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
   * Limits on requests, which protect the daemon from overload.
   *
   * @param bodyBytes maximum size of a request body
   * @param headerBytes maximum total size of the headers of a request
   * @param eventsPerStream maximum number of events buffered for a caller that reads slowly
   * @param concurrentRequests maximum number of requests served concurrently
   * @param slowReaderTimeout time after which a caller that does not read from a full buffer is
   *     disconnected
   * @param clientMemoryPercent share of the heap that is held for callers
   * @param reservedDescriptors file descriptors that are kept for what is not a caller's connection
   */
  public record Limits(
      int bodyBytes,
      int headerBytes,
      int eventsPerStream,
      int concurrentRequests,
      Duration slowReaderTimeout,
      int clientMemoryPercent,
      int reservedDescriptors) {}

  /**
   * Periods of a graceful shutdown.
   *
   * @param grace period in which new requests are still accepted after the readiness check has
   *     started to fail
   * @param drain maximum time after the grace period for running streams to end
   */
  public record Shutdown(Duration grace, Duration drain) {}

  /**
   * Settings of admission shards.
   *
   * @param preset predefined set of values
   */
  public record Admission(AdmissionPreset preset) {}

  /** Predefined sets of admission settings, named after the deployments that they are tuned for. */
  public enum AdmissionPreset {
    /** Optimized for few preemptions and little stall time. */
    ZOPFWERK,
    /**
     * Optimized for low tail latency between tokens and for service while failure domains change.
     */
    FLAGLINE
  }

  /**
   * Settings of the log output.
   *
   * @param level least severe level that is logged
   * @param format format of a log line
   */
  public record Logging(LogLevel level, LogFormat format) {}

  /** Log levels, from most to least severe. */
  public enum LogLevel {
    /** Errors that require an operator to act. */
    ERROR,
    /** Errors that the daemon handles itself. */
    WARN,
    /** State changes of the daemon. */
    INFO,
    /** Steps of individual requests. */
    DEBUG,
    /** Individual messages. */
    TRACE
  }

  /** Formats of log lines. */
  public enum LogFormat {
    /** One JSON object per line, for log processors. */
    JSON,
    /** Plain text, for human readers. */
    TEXT
  }
}
