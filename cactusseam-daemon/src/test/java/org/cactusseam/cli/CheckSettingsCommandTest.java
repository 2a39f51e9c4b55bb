package org.cactusseam.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against unusable certificates and keys that {@code check-settings} does not report, so
 * that they only show when the first client connects.
 */
class CheckSettingsCommandTest {

  private static final Path SAMPLES = Path.of("src/test/resources/tls");
  private static final String CERTIFICATE = "certificate.pem";
  private static final String KEY = "key.pem";

  @TempDir Path directory;
  private CommandLineFixture fixture;

  @BeforeEach
  void write_files() throws IOException {
    fixture = new CommandLineFixture(directory);
    Files.writeString(directory.resolve("cluster.key"), "k".repeat(32));
    Files.writeString(directory.resolve("operators"), "resi " + "0".repeat(64));
    Files.copy(SAMPLES.resolve("ec-certificate.pem"), directory.resolve(CERTIFICATE));
    Files.copy(SAMPLES.resolve("ec-key.pem"), directory.resolve(KEY));
    Files.createDirectory(directory.resolve("folder"));
    Files.writeString(directory.resolve("empty"), "");
    Files.writeString(directory.resolve("text"), "no certificate and no key");
    Files.copy(SAMPLES.resolve("other-key.pem"), directory.resolve("other"));
    writeTruncated(CERTIFICATE);
    writeTruncated(KEY);
  }

  private void writeTruncated(String name) throws IOException {
    String whole = Files.readString(directory.resolve(name));
    Files.writeString(directory.resolve("short-" + name), whole.substring(0, whole.length() / 2));
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private ExitCode check(String side, String certificate, String key) throws IOException {
    Path file = directory.resolve("settings.yaml");
    Files.writeString(
        file,
        """
        deployment: zopfwerk
        node: wien-1
        failure-domain: ost-wien
        region: ost
        addresses:
          caller: {host: 127.0.0.1, port: 8080}
          operator: {host: 127.0.0.1, port: 8081}
          peer: {host: 127.0.0.1, port: 8082}
        keys: {cluster-key-file: cluster.key, operator-keys-file: operators}
        platform: {log-url: "http://127.0.0.1:9000", vm-list-url: "http://127.0.0.1:9001"}
        tls: {%s: {certificate-file: %s, private-key-file: %s}}
        """
            .formatted(side, certificate, key));
    return fixture.run(new CheckSettingsCommand(), "check-settings", "--settings", file.toString());
  }

  @ParameterizedTest
  @ValueSource(strings = {"caller", "operator"})
  void a_certificate_with_its_key_is_valid(String side) throws IOException {
    assertThat(check(side, CERTIFICATE, KEY), is(ExitCode.OK));
  }

  @ParameterizedTest(name = "{0}: {1}, {2}")
  @CsvSource({
    "caller, absent, key.pem, certificate-file: the file does not exist",
    "caller, certificate.pem, absent, private-key-file: the file does not exist",
    "operator, absent, key.pem, certificate-file: the file does not exist",
    "operator, certificate.pem, absent, private-key-file: the file does not exist",
    "caller, folder, key.pem, certificate-file: the file does not exist or is not a regular file",
    "caller, empty, key.pem, certificate-file: the file holds no certificate",
    "caller, certificate.pem, empty, private-key-file: expected an unencrypted",
    "caller, text, key.pem, certificate-file: expected X.509",
    "caller, certificate.pem, text, private-key-file: expected an unencrypted",
    "operator, text, key.pem, certificate-file: expected X.509",
    "operator, certificate.pem, text, private-key-file: expected an unencrypted",
    "caller, short-certificate.pem, key.pem, certificate-file: expected X.509",
    "caller, certificate.pem, short-key.pem, private-key-file: expected an unencrypted",
    "caller, key.pem, key.pem, certificate-file: expected X.509",
    "caller, certificate.pem, certificate.pem, private-key-file: expected an unencrypted",
    "caller, certificate.pem, other, private-key-file: the key does not"
  })
  void an_unusable_file_is_reported_with_its_key_and_without_its_content(
      String side, String certificate, String key, String expected) throws IOException {
    assertThat(check(side, certificate, key), is(ExitCode.FAULTY_SETTINGS));
    assertThat(fixture.err(), containsString("tls." + side + "." + expected));
    assertThat(fixture.err(), not(containsString("BEGIN CERTIFICATE")));
  }
}
