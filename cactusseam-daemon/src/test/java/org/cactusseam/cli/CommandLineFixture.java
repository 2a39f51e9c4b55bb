package org.cactusseam.cli;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.PemKeyCertOptions;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Runs the command-line interface with captured output, and a test server on the loopback address.
 */
final class CommandLineFixture implements AutoCloseable {

  static final String KEY = "key-of-the-test-0123456789";

  private final Vertx vertx = Vertx.vertx();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final Path keyFile;
  private String scheme = "http";
  private int port;

  CommandLineFixture(Path directory) throws IOException {
    keyFile = directory.resolve("key");
    Files.writeString(keyFile, KEY + "\n");
  }

  /** Starts the server; the handler receives each request with its body. */
  void listen(BiConsumer<HttpServerRequest, String> handler) {
    listen(handler, new HttpServerOptions());
  }

  /** Starts the server with TLS and a certificate for the loopback address. */
  void listenWithTls(BiConsumer<HttpServerRequest, String> handler) {
    scheme = "https";
    listen(
        handler,
        new HttpServerOptions()
            .setSsl(true)
            .setKeyCertOptions(
                new PemKeyCertOptions()
                    .addCertPath("src/test/resources/tls/ec-certificate.pem")
                    .addKeyPath("src/test/resources/tls/ec-key.pem")));
  }

  private void listen(BiConsumer<HttpServerRequest, String> handler, HttpServerOptions options) {
    HttpServer server =
        vertx
            .createHttpServer(options)
            .requestHandler(
                request ->
                    request.body().onSuccess(body -> handler.accept(request, body.toString())))
            .listen(0, "127.0.0.1")
            .toCompletionStage()
            .toCompletableFuture()
            .join();
    port = server.actualPort();
  }

  String url() {
    return scheme + "://127.0.0.1:" + port;
  }

  String keyFile() {
    return keyFile.toString();
  }

  ExitCode run(Subcommand subcommand, String... arguments) {
    return run(new Main(List.of(subcommand)), arguments);
  }

  ExitCode run(Main main, String... arguments) {
    out.reset();
    err.reset();
    return main.run(
        arguments,
        new Terminal(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8)));
  }

  String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }
}
