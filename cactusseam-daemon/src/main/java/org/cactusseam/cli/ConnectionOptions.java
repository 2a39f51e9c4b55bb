package org.cactusseam.cli;

import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.PemTrustOptions;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;
import joptsimple.ArgumentAcceptingOptionSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import joptsimple.util.PathConverter;
import org.cactusseam.model.DurationText;

/** Command-line options for the connection to a daemon: its URL, the key and TLS trust. */
final class ConnectionOptions {

  private static final int CONNECT_TIMEOUT_MILLIS = 5_000;
  // The key is sent in an HTTP header, which blanks and control characters would corrupt.
  private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,4096}");

  private final OptionSpec<URI> servers;
  private final OptionSpec<Path> keyFile;
  private final OptionSpec<Path> caFile;
  private final OptionSpec<String> timeout;

  /**
   * Declares the options.
   *
   * @param parser option parser of a subcommand
   * @param defaultTimeout default value of {@code --timeout}, as a duration text
   */
  ConnectionOptions(OptionParser parser, String defaultTimeout) {
    servers =
        parser
            .accepts("server", "URL of an entry daemon; several are separated by commas")
            .withRequiredArg()
            .withValuesSeparatedBy(',')
            .ofType(URI.class)
            .describedAs("URL")
            .required();
    keyFile = file(parser, "key-file", "file that contains the key").required();
    caFile =
        file(
            parser,
            "ca-file",
            "PEM file with the certificates to trust instead of the default ones");
    timeout =
        parser
            .accepts("timeout", "maximum time without a response")
            .withRequiredArg()
            .describedAs("DURATION")
            .defaultsTo(defaultTimeout);
  }

  private static ArgumentAcceptingOptionSpec<Path> file(
      OptionParser parser, String name, String description) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .withValuesConvertedBy(new PathConverter())
        .describedAs("FILE");
  }

  List<URI> servers(OptionSet options) {
    List<URI> urls = options.valuesOf(servers);
    for (URI url : urls) {
      boolean isHttp = "http".equals(url.getScheme()) || "https".equals(url.getScheme());
      if (!isHttp || url.getHost() == null || url.getUserInfo() != null) {
        throw new UsageException("--server needs a URL like http://10.0.0.1:8081");
      }
    }
    return urls;
  }

  /** Reads the key file. Error messages never contain its content. */
  String key(OptionSet options) {
    Path file = options.valueOf(keyFile);
    String key;
    try {
      key = Files.readString(file, StandardCharsets.US_ASCII).strip();
    } catch (IOException e) {
      throw new UsageException("--key-file cannot be read: " + file);
    }
    if (!KEY.matcher(key).matches()) {
      throw new UsageException("--key-file needs one line of visible ASCII characters: " + file);
    }
    return key;
  }

  Duration timeout(OptionSet options) {
    return DurationText.parse(options.valueOf(timeout))
        .filter(Duration::isPositive)
        .orElseThrow(() -> new UsageException("--timeout needs " + DurationText.EXPECTED));
  }

  HttpClientOptions http(OptionSet options) {
    HttpClientOptions http = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    if (options.has(caFile)) {
      Path file = options.valueOf(caFile);
      if (!Files.isReadable(file)) {
        throw new UsageException("--ca-file cannot be read: " + file);
      }
      http.setTrustOptions(new PemTrustOptions().addCertPath(file.toString()));
    }
    return http;
  }
}
