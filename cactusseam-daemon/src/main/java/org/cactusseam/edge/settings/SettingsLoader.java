package org.cactusseam.edge.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Reads and validates the settings file of {@code cactusseam serve}. All errors are reported at
 * once, so that an administrator can fix them together; the daemon starts only with a valid file.
 */
public final class SettingsLoader {

  private final Path directory;
  private final SettingsTree tree;

  private SettingsLoader(Path directory, SettingsTree tree) {
    this.directory = directory;
    this.tree = tree;
  }

  /**
   * Reads and validates a settings file and the key files that it refers to.
   *
   * @param file settings file; relative file names in it are resolved against its directory
   * @return settings, or all errors in the order of files and positions
   */
  public static Either<List<SettingsFault>, Settings> load(Path file) {
    String name = file.toString();
    String text;
    try {
      text = Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      return Either.left(
          List.of(
              new SettingsFault(name, 1, 1, "", "the file cannot be read, expected UTF-8 text")));
    }
    SettingsTree tree =
        SettingsTree.read(
            name,
            text,
            SettingsKeys.ALL.stream().map(SettingKey::path).collect(Collectors.toSet()));
    Path directory = Optional.ofNullable(file.toAbsolutePath().getParent()).orElse(file);
    return new SettingsLoader(directory, tree).load();
  }

  private Either<List<SettingsFault>, Settings> load() {
    Values values = new Values();
    SettingsKeys.ALL.forEach(key -> readValue(key, values));
    Optional<Settings.Keys> keys = readKeys(values);
    Settings.Tls tls =
        new Settings.Tls(
            readCertificate(
                values, SettingsKeys.CALLER_CERTIFICATE_FILE, SettingsKeys.CALLER_PRIVATE_KEY_FILE),
            readCertificate(
                values,
                SettingsKeys.OPERATOR_CERTIFICATE_FILE,
                SettingsKeys.OPERATOR_PRIVATE_KEY_FILE));
    checkAddresses(values);
    List<SettingsFault> faults = tree.faults();
    return faults.isEmpty()
        ? Either.right(values.toSettings(keys.orElseThrow(), tls))
        : Either.left(faults);
  }

  private <T> void readValue(SettingKey<T> key, Values values) {
    Optional<SettingsTree.Scalar> scalar = tree.value(key.path());
    if (scalar.isPresent()) {
      parse(key, scalar.get()).ifPresent(value -> values.put(key, value));
    } else if (key.defaultText().isPresent()) {
      key.defaultText().flatMap(key.type().parser()).ifPresent(value -> values.put(key, value));
    } else if (key.presence() == SettingKey.Presence.REQUIRED && !tree.isPresent(key.path())) {
      tree.addFault(key.path(), "missing, expected " + key.type().expected());
    }
  }

  private <T> Optional<T> parse(SettingKey<T> key, SettingsTree.Scalar scalar) {
    ValueType<T> type = key.type();
    boolean wrongType = scalar.isNull() || (type.unquoted() && scalar.quoted());
    Optional<T> value = wrongType ? Optional.empty() : type.parser().apply(scalar.text());
    if (value.isEmpty()) {
      tree.addFault(key.path(), "expected " + type.expected() + describeFound(type, scalar));
    }
    return value;
  }

  private static String describeFound(ValueType<?> type, SettingsTree.Scalar scalar) {
    if (scalar.isNull()) {
      return ", found nothing";
    }
    if (!type.showsValue()) {
      return "";
    }
    return (scalar.quoted() ? ", found the text '" : ", found '") + scalar.text() + "'";
  }

  private void checkAddresses(Values values) {
    Map<Settings.Endpoint, String> portKeys = new HashMap<>();
    checkAddress(values, SettingsKeys.CALLER_HOST, SettingsKeys.CALLER_PORT, portKeys);
    checkAddress(values, SettingsKeys.OPERATOR_HOST, SettingsKeys.OPERATOR_PORT, portKeys);
    checkAddress(values, SettingsKeys.PEER_HOST, SettingsKeys.PEER_PORT, portKeys);
  }

  private void checkAddress(
      Values values,
      SettingKey<String> host,
      SettingKey<Integer> port,
      Map<Settings.Endpoint, String> portKeys) {
    if (!values.has(host) || !values.has(port)) {
      return;
    }
    String duplicate = portKeys.putIfAbsent(values.endpoint(host, port), port.path());
    if (duplicate != null) {
      tree.addFault(port.path(), "the address is the same as that of " + duplicate);
    }
  }

  private Optional<Settings.Keys> readKeys(Values values) {
    Optional<Secret> cluster =
        readFile(values, SettingsKeys.CLUSTER_KEY_FILE, KeyFiles::clusterKey);
    Optional<Secret> operators = readFile(values, SettingsKeys.OPERATOR_KEYS_FILE, Either::right);
    Optional<List<Settings.OperatorKey>> operatorKeys =
        operators.flatMap(
            content -> readOperatorKeys(values.get(SettingsKeys.OPERATOR_KEYS_FILE), content));
    return cluster.flatMap(key -> operatorKeys.map(names -> new Settings.Keys(key, names)));
  }

  private Optional<List<Settings.OperatorKey>> readOperatorKeys(String file, Secret content) {
    Either<List<SettingsFault>, List<Settings.OperatorKey>> keys =
        KeyFiles.operatorKeys(file, content);
    keys.peekLeft(faults -> faults.forEach(tree::addFault));
    return keys.toJavaOptional();
  }

  private Optional<Settings.Certificate> readCertificate(
      Values values, SettingKey<String> certificateFile, SettingKey<String> privateKeyFile) {
    boolean hasCertificate = tree.isPresent(certificateFile.path());
    boolean hasPrivateKey = tree.isPresent(privateKeyFile.path());
    if (hasCertificate != hasPrivateKey) {
      SettingKey<String> missing = hasCertificate ? privateKeyFile : certificateFile;
      tree.addFault(
          missing.path(), "missing, a certificate and its private key must be set together");
    }
    Optional<Secret> chain = readFile(values, certificateFile, KeyFiles::certificate);
    Optional<Secret> privateKey = readFile(values, privateKeyFile, KeyFiles::privateKey);
    if (chain.isPresent()
        && privateKey.isPresent()
        && !KeyFiles.isMatchingPair(chain.get(), privateKey.get())) {
      tree.addFault(privateKeyFile.path(), "the key does not belong to the first certificate");
    }
    return chain.flatMap(
        certificates -> privateKey.map(key -> new Settings.Certificate(certificates, key)));
  }

  private Optional<Secret> readFile(
      Values values, SettingKey<String> key, Function<Secret, Either<String, Secret>> check) {
    if (!values.has(key)) {
      return Optional.empty();
    }
    Either<String, Secret> content =
        resolve(values.get(key)).flatMap(KeyFiles::read).flatMap(check);
    content.peekLeft(message -> tree.addFault(key.path(), message));
    return content.toJavaOptional();
  }

  private Either<String, Path> resolve(String name) {
    try {
      return Either.right(directory.resolve(name));
    } catch (InvalidPathException e) {
      return Either.left("not a valid file name");
    }
  }

  /** Type-safe map of parsed values: the type parameter of a key is the type of its value. */
  private static final class Values {

    private final Map<SettingKey<?>, Object> byKey = new HashMap<>();

    <T> void put(SettingKey<T> key, T value) {
      byKey.put(key, value);
    }

    boolean has(SettingKey<?> key) {
      return byKey.containsKey(key);
    }

    @SuppressWarnings("unchecked") // put() pairs each key with a value of its type
    <T> T get(SettingKey<T> key) {
      @Nullable Object value = byKey.get(key);
      if (value == null) {
        throw new IllegalStateException("no value for " + key.path());
      }
      return (T) value;
    }

    Settings.Endpoint endpoint(SettingKey<String> host, SettingKey<Integer> port) {
      return new Settings.Endpoint(get(host), get(port));
    }

    Settings toSettings(Settings.Keys keys, Settings.Tls tls) {
      return new Settings(
          get(SettingsKeys.DEPLOYMENT),
          get(SettingsKeys.NODE),
          get(SettingsKeys.FAILURE_DOMAIN),
          get(SettingsKeys.REGION),
          new Settings.Addresses(
              endpoint(SettingsKeys.CALLER_HOST, SettingsKeys.CALLER_PORT),
              endpoint(SettingsKeys.OPERATOR_HOST, SettingsKeys.OPERATOR_PORT),
              endpoint(SettingsKeys.PEER_HOST, SettingsKeys.PEER_PORT)),
          keys,
          tls,
          platform(),
          limits(),
          new Settings.Shutdown(get(SettingsKeys.GRACE), get(SettingsKeys.DRAIN)),
          admission(),
          new Settings.Logging(get(SettingsKeys.LOG_LEVEL), get(SettingsKeys.LOG_FORMAT)));
    }

    private Settings.Platform platform() {
      return new Settings.Platform(
          get(SettingsKeys.LOG_URL),
          get(SettingsKeys.CONTROL_STREAM),
          get(SettingsKeys.CLAIMS_STREAM),
          get(SettingsKeys.RETENTION),
          get(SettingsKeys.VM_LIST_URL),
          get(SettingsKeys.VM_LIST_LAG),
          get(SettingsKeys.WEIGHT_STORE_INTERVAL));
    }

    private Settings.Limits limits() {
      return new Settings.Limits(
          get(SettingsKeys.BODY_BYTES),
          get(SettingsKeys.HEADER_BYTES),
          get(SettingsKeys.EVENTS_PER_STREAM),
          get(SettingsKeys.CONCURRENT_REQUESTS),
          get(SettingsKeys.SLOW_READER_TIMEOUT),
          get(SettingsKeys.CLIENT_MEMORY_PERCENT),
          get(SettingsKeys.RESERVED_DESCRIPTORS));
    }

    private Settings.Admission admission() {
      return new Settings.Admission(get(SettingsKeys.ADMISSION_PRESET));
    }
  }
}
