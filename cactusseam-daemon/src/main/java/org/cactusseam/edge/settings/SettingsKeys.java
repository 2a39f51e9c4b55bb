package org.cactusseam.edge.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.RegionName;

/**
 * Declares all keys of the settings file. A test keeps them in sync with {@code docs/settings.md}.
 */
final class SettingsKeys {

  static final SettingKey<String> DEPLOYMENT =
      SettingKey.required("deployment", ValueType.name(Function.identity()));
  static final SettingKey<NodeName> NODE =
      SettingKey.required("node", ValueType.name(NodeName::new));
  static final SettingKey<FailureDomainName> FAILURE_DOMAIN =
      SettingKey.required("failure-domain", ValueType.name(FailureDomainName::new));
  static final SettingKey<RegionName> REGION =
      SettingKey.required("region", ValueType.name(RegionName::new));

  static final SettingKey<String> CALLER_HOST =
      SettingKey.required("addresses.caller.host", ValueType.ipAddress());
  static final SettingKey<Integer> CALLER_PORT =
      SettingKey.required("addresses.caller.port", port());
  static final SettingKey<String> OPERATOR_HOST =
      SettingKey.required("addresses.operator.host", ValueType.ipAddress());
  static final SettingKey<Integer> OPERATOR_PORT =
      SettingKey.required("addresses.operator.port", port());
  static final SettingKey<String> PEER_HOST =
      SettingKey.required("addresses.peer.host", ValueType.ipAddress());
  static final SettingKey<Integer> PEER_PORT = SettingKey.required("addresses.peer.port", port());

  static final SettingKey<String> CLUSTER_KEY_FILE =
      SettingKey.required("keys.cluster-key-file", ValueType.file());
  static final SettingKey<String> OPERATOR_KEYS_FILE =
      SettingKey.required("keys.operator-keys-file", ValueType.file());

  static final SettingKey<String> CALLER_CERTIFICATE_FILE =
      SettingKey.optional("tls.caller.certificate-file", ValueType.file());
  static final SettingKey<String> CALLER_PRIVATE_KEY_FILE =
      SettingKey.optional("tls.caller.private-key-file", ValueType.file());
  static final SettingKey<String> OPERATOR_CERTIFICATE_FILE =
      SettingKey.optional("tls.operator.certificate-file", ValueType.file());
  static final SettingKey<String> OPERATOR_PRIVATE_KEY_FILE =
      SettingKey.optional("tls.operator.private-key-file", ValueType.file());

  static final SettingKey<URI> LOG_URL =
      SettingKey.required("platform.log-url", ValueType.httpUrl());
  static final SettingKey<String> CONTROL_STREAM =
      SettingKey.withDefault("platform.control-stream", ValueType.streamName(), "control");
  static final SettingKey<String> CLAIMS_STREAM =
      SettingKey.withDefault("platform.claims-stream", ValueType.streamName(), "claims");
  static final SettingKey<Duration> RETENTION =
      SettingKey.withDefault(
          "platform.retention", duration(Duration.ofMinutes(20), Duration.ofDays(365)), "1d");
  static final SettingKey<URI> VM_LIST_URL =
      SettingKey.required("platform.vm-list-url", ValueType.httpUrl());
  static final SettingKey<Duration> VM_LIST_LAG =
      SettingKey.withDefault(
          "platform.vm-list-lag", duration(Duration.ofSeconds(1), Duration.ofMinutes(10)), "30s");

  /**
   * Orders that load from the weight store are released from a token bucket, which is checked every
   * 100 ms, so shorter intervals have no effect. The weight store documents no rate limit; the
   * default is therefore conservative.
   */
  static final SettingKey<Duration> WEIGHT_STORE_INTERVAL =
      SettingKey.withDefault(
          "platform.weight-store-interval",
          duration(Duration.ofMillis(100), Duration.ofHours(1)),
          "3s");

  static final SettingKey<Integer> BODY_BYTES =
      SettingKey.withDefault("limits.body-bytes", integer(1_024, 67_108_864), "1048576");
  static final SettingKey<Integer> HEADER_BYTES =
      SettingKey.withDefault("limits.header-bytes", integer(1_024, 1_048_576), "16384");
  static final SettingKey<Integer> EVENTS_PER_STREAM =
      SettingKey.withDefault("limits.events-per-stream", integer(1, 65_536), "256");
  static final SettingKey<Integer> CONCURRENT_REQUESTS =
      SettingKey.withDefault("limits.concurrent-requests", integer(1, 1_000_000), "4096");
  static final SettingKey<Duration> SLOW_READER_TIMEOUT =
      SettingKey.withDefault(
          "limits.slow-reader-timeout",
          duration(Duration.ofMillis(100), Duration.ofMinutes(10)),
          "30s");
  static final SettingKey<Integer> CLIENT_MEMORY_PERCENT =
      SettingKey.withDefault("limits.client-memory-percent", integer(1, 80), "40");
  static final SettingKey<Integer> RESERVED_DESCRIPTORS =
      SettingKey.withDefault("limits.reserved-descriptors", integer(16, 1_000_000), "128");

  static final SettingKey<Duration> GRACE =
      SettingKey.withDefault(
          "shutdown.grace", duration(Duration.ZERO, Duration.ofMinutes(10)), "10s");
  static final SettingKey<Duration> DRAIN =
      SettingKey.withDefault(
          "shutdown.drain", duration(Duration.ZERO, Duration.ofDays(1)), "10min");

  static final SettingKey<Settings.AdmissionPreset> ADMISSION_PRESET =
      SettingKey.withDefault(
          "admission.preset", ValueType.choice(Settings.AdmissionPreset.class), "zopfwerk");

  static final SettingKey<Settings.LogLevel> LOG_LEVEL =
      SettingKey.withDefault("logging.level", ValueType.choice(Settings.LogLevel.class), "info");
  static final SettingKey<Settings.LogFormat> LOG_FORMAT =
      SettingKey.withDefault("logging.format", ValueType.choice(Settings.LogFormat.class), "json");

  static final List<SettingKey<?>> ALL =
      List.of(
          DEPLOYMENT,
          NODE,
          FAILURE_DOMAIN,
          REGION,
          CALLER_HOST,
          CALLER_PORT,
          OPERATOR_HOST,
          OPERATOR_PORT,
          PEER_HOST,
          PEER_PORT,
          CLUSTER_KEY_FILE,
          OPERATOR_KEYS_FILE,
          CALLER_CERTIFICATE_FILE,
          CALLER_PRIVATE_KEY_FILE,
          OPERATOR_CERTIFICATE_FILE,
          OPERATOR_PRIVATE_KEY_FILE,
          LOG_URL,
          CONTROL_STREAM,
          CLAIMS_STREAM,
          RETENTION,
          VM_LIST_URL,
          VM_LIST_LAG,
          WEIGHT_STORE_INTERVAL,
          BODY_BYTES,
          HEADER_BYTES,
          EVENTS_PER_STREAM,
          CONCURRENT_REQUESTS,
          SLOW_READER_TIMEOUT,
          CLIENT_MEMORY_PERCENT,
          RESERVED_DESCRIPTORS,
          GRACE,
          DRAIN,
          ADMISSION_PRESET,
          LOG_LEVEL,
          LOG_FORMAT);

  private SettingsKeys() {}

  private static ValueType<Integer> port() {
    return integer(1, 65_535);
  }

  private static ValueType<Integer> integer(int min, int max) {
    return ValueType.integer(min, max);
  }

  private static ValueType<Duration> duration(Duration min, Duration max) {
    return ValueType.duration(min, max);
  }
}
