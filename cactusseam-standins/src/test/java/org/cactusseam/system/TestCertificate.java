package org.cactusseam.system;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/** A self-signed certificate for the loopback address with its key, made by the JDK's keytool. */
final class TestCertificate {

  private static final String ALIAS = "server";
  private static final String PASSWORD = "changeit";

  private final KeyStore store;
  private final Path chainFile;
  private final Path keyFile;

  private TestCertificate(KeyStore store, Path chainFile, Path keyFile) {
    this.store = store;
    this.chainFile = chainFile;
    this.keyFile = keyFile;
  }

  static TestCertificate create(Path folder, String name) throws Exception {
    Path file = folder.resolve(name + ".p12");
    Process keytool =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString(),
                "-genkeypair",
                "-alias",
                ALIAS,
                "-keyalg",
                "EC",
                "-dname",
                "CN=" + name,
                "-ext",
                "san=ip:127.0.0.1",
                "-validity",
                "2",
                "-storetype",
                "PKCS12",
                "-keystore",
                file.toString(),
                "-storepass",
                PASSWORD)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve(name + ".keytool.log").toFile())
            .start();
    if (keytool.waitFor() != 0) {
      throw new AssertionError(Files.readString(folder.resolve(name + ".keytool.log")));
    }
    KeyStore store = KeyStore.getInstance("PKCS12");
    try (InputStream input = Files.newInputStream(file)) {
      store.load(input, PASSWORD.toCharArray());
    }
    return new TestCertificate(
        store,
        pem(folder, name, "CERTIFICATE", store.getCertificate(ALIAS).getEncoded()),
        pem(folder, name, "PRIVATE KEY", store.getKey(ALIAS, PASSWORD.toCharArray()).getEncoded()));
  }

  private static Path pem(Path folder, String name, String type, byte[] content)
      throws IOException {
    String text =
        "-----BEGIN %s-----\n%s\n-----END %s-----\n"
            .formatted(
                type,
                Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII))
                    .encodeToString(content),
                type);
    return Files.writeString(
        folder.resolve(name + "-" + type.toLowerCase(java.util.Locale.ROOT).replace(' ', '-')),
        text);
  }

  Path chainFile() {
    return chainFile;
  }

  Path keyFile() {
    return keyFile;
  }

  /** Returns the TLS settings of a client that trusts only this certificate. */
  SSLContext trustedOnly() throws GeneralSecurityException, IOException {
    KeyStore trusted = KeyStore.getInstance("PKCS12");
    trusted.load(null, null);
    trusted.setCertificateEntry(ALIAS, store.getCertificate(ALIAS));
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(trusted);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, trust.getTrustManagers(), null);
    return context;
  }
}
