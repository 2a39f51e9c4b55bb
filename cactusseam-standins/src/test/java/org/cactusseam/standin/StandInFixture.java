package org.cactusseam.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Runs a stand-in under test in this process, and an HTTP client that calls it over loopback. */
public final class StandInFixture implements AutoCloseable {

  /** Timeout of calls and conditions, so that a failing test does not block the build. */
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private static final long POLL_INTERVAL_NANOS = 1_000_000;

  private static final Vertx VERTX = Vertx.vertx();
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final StandIn<?> standIn;
  private final String deployment;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  private StandInFixture(StandIn<?> standIn) {
    this.standIn = standIn;
    deployment = Future.await(VERTX.deployVerticle(standIn));
  }

  public static StandInFixture start(StandIn<?> standIn) {
    return new StandInFixture(standIn);
  }

  /** A complete response. */
  public record Answer(int status, HttpResponse<String> response) {
    public JsonNode json() {
      return parse(response.body());
    }

    public String header(String name) {
      return response.headers().firstValue(name).orElse("");
    }
  }

  public static JsonNode parse(String json) {
    try {
      return MAPPER.readTree(json);
    } catch (IOException e) {
      throw new AssertionError("invalid JSON: " + json, e);
    }
  }

  public HttpRequest request(String method, String path, String body, String... headers) {
    return build(standIn.port(), method, path, body, headers);
  }

  private static HttpRequest build(
      int port, String method, String path, String body, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.ofString(body));
    return (headers.length == 0 ? builder : builder.headers(headers)).build();
  }

  public Answer send(String method, String path, String body, String... headers) {
    try {
      return answer(client.send(request(method, path, body, headers), BodyHandlers.ofString()));
    } catch (IOException e) {
      throw new AssertionError("connection broke: " + method + " " + path, e);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  public Answer get(String path) {
    return send("GET", path, "");
  }

  public CompletableFuture<Answer> sendAsync(String method, String path, String body) {
    return client
        .sendAsync(request(method, path, body), BodyHandlers.ofString())
        .thenApply(StandInFixture::answer);
  }

  public HttpResponse<InputStream> open(
      String method, String path, String body, String... headers) {
    try {
      return client.send(request(method, path, body, headers), BodyHandlers.ofInputStream());
    } catch (IOException | InterruptedException e) {
      throw new AssertionError("no response head: " + path, e);
    }
  }

  /** Sends a request and fails unless the connection breaks before the response. */
  public void sendExpectingDisconnect(String method, String path, String body, String... headers) {
    try {
      HttpResponse<String> response =
          client.send(request(method, path, body, headers), BodyHandlers.ofString());
      throw new AssertionError(
          "expected a broken connection but got the response: " + response.body());
    } catch (ConnectException e) {
      throw new AssertionError("the connection was refused instead of broken", e);
    } catch (IOException e) {
      // The connection broke, as expected.
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Sends a request and closes the connection without waiting for an answer. */
  public void sendAndDisconnect(String path, String body, String header) {
    String head = "POST %s HTTP/1.1\r\nHost: localhost\r\n%s\r\nContent-Length: %d\r\n\r\n";
    try (Socket socket = new Socket("127.0.0.1", standIn.port())) {
      String request = head.formatted(path, header, body.length()) + body;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns whether the operating system refuses a connection to the service. */
  public boolean refusesConnections() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress("127.0.0.1", standIn.port()));
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      // The connection was reset while the socket was closing, so it was not refused.
      return false;
    }
  }

  /** Sends a request to the admin port, which faults do not affect. */
  public Answer admin(String method, String path, String body) {
    try {
      return answer(
          client.send(build(standIn.adminPort(), method, path, body), BodyHandlers.ofString()));
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  public void setFaults(String changes) {
    Answer answer = admin("POST", "/faults", changes);
    if (answer.status() != 200) {
      throw new AssertionError(answer.response().body());
    }
  }

  /** Returns the incarnation in the load report. */
  public String incarnation() {
    return get("/load").json().get("incarnation").asText();
  }

  /** Waits until the service reports an incarnation other than {@code before}. */
  public void awaitRestart(String before) {
    await(() -> !incarnationIfReachable(before).equals(before));
  }

  private String incarnationIfReachable(String otherwise) {
    try {
      HttpResponse<String> response =
          client.send(request("GET", "/load", ""), BodyHandlers.ofString());
      return answer(response).json().get("incarnation").asText();
    } catch (IOException e) {
      return otherwise;
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Polls a condition until it holds, and fails after the timeout. */
  public static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("condition not met within " + TIMEOUT);
      }
      // Polling without a pause would fill the accept queue and delay the closing of the socket.
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }

  private static Answer answer(HttpResponse<String> response) {
    return new Answer(response.statusCode(), response);
  }

  @Override
  public void close() {
    client.shutdownNow(); // close() would wait for streams that a test left open
    Future.await(VERTX.undeploy(deployment));
  }
}
