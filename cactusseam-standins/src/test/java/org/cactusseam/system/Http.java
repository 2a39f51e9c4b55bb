package org.cactusseam.system;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.stream.Stream;

/** HTTP client for calls to the system under test. */
final class Http {

  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private Http() {}

  static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).timeout(TIMEOUT);
  }

  static HttpResponse<String> send(HttpRequest.Builder request) {
    return exchange(request, HttpResponse.BodyHandlers.ofString());
  }

  static HttpResponse<Stream<String>> sendForLines(HttpRequest.Builder request) {
    return exchange(request, HttpResponse.BodyHandlers.ofLines());
  }

  private static <T> HttpResponse<T> exchange(
      HttpRequest.Builder request, HttpResponse.BodyHandler<T> handler) {
    try {
      return CLIENT.send(request.build(), handler);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  static String get(int port, String path) {
    return send(request(port, path).GET()).body();
  }

  static void post(int port, String path, String body) {
    HttpResponse<String> response =
        send(
            request(port, path)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body)));
    if (response.statusCode() >= 300) {
      throw new AssertionError(path + " answered " + response.statusCode() + response.body());
    }
  }
}
