package org.cactusseam.benchmark;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Opens long-lived completion streams and records the latency of their first tokens and the
 * intervals between tokens, in nanoseconds.
 */
final class StreamLoadGenerator implements AutoCloseable {

  private static final int EVENT_LOOPS = 2;
  private static final int MAX_CONNECTIONS = 4_000;
  private static final int HISTOGRAM_PRECISION_DIGITS = 3;
  private static final int STATUS_OK = 200;

  /**
   * Interval between opening two streams, so that the time to the first token is not affected by
   * queueing at the engine.
   */
  private static final Duration OPEN_INTERVAL = Duration.ofMillis(10);

  private final Vertx vertx;
  private final HttpClient client;
  private final String key;
  private final List<Stream> streams = new ArrayList<>();
  private final ConcurrentLinkedQueue<String> errors = new ConcurrentLinkedQueue<>();
  private final Histogram firstToken = new ConcurrentHistogram(HISTOGRAM_PRECISION_DIGITS);
  private volatile Histogram betweenTokens = new ConcurrentHistogram(HISTOGRAM_PRECISION_DIGITS);
  private volatile LongAdder tokens = new LongAdder();
  private volatile boolean closed;

  StreamLoadGenerator(Vertx vertx, String key) {
    this.vertx = vertx;
    this.key = key;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions(),
            new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setEventLoopSize(EVENT_LOOPS));
  }

  /** Opens streams until {@code count} are open, distributing them round-robin over the ports. */
  void openUpTo(int count, List<Integer> ports) {
    while (streams.size() < count) {
      int number = streams.size();
      Stream stream = new Stream(number);
      streams.add(stream);
      stream.open(ports.get(number % ports.size()));
      pause(OPEN_INTERVAL);
    }
  }

  /**
   * Discards the recorded intervals between tokens and the token count, to start a new measurement.
   */
  void resetMeasurement() {
    betweenTokens = new ConcurrentHistogram(HISTOGRAM_PRECISION_DIGITS);
    tokens = new LongAdder();
  }

  Histogram firstToken() {
    return firstToken;
  }

  Histogram betweenTokens() {
    return betweenTokens.copy();
  }

  long tokens() {
    return tokens.sum();
  }

  /** Returns the number of streams that received a token within the last second. */
  long countActive() {
    long sinceNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
    return streams.stream().filter(stream -> stream.lastTokenNanos > sinceNanos).count();
  }

  List<String> errors() {
    return List.copyOf(errors);
  }

  static void pause(Duration duration) {
    long end = System.nanoTime() + duration.toNanos();
    while (System.nanoTime() < end) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
  }

  @Override
  public void close() {
    closed = true;
    client.close().await();
  }

  /**
   * One open stream. Its state is confined to the event loop of its connection, except the arrival
   * time of the last token.
   */
  private final class Stream {
    private final int number;
    private final long openedNanos = System.nanoTime();
    private volatile long lastTokenNanos;
    private long nextIndex;

    Stream(int number) {
      this.number = number;
    }

    void open(int port) {
      RequestOptions options =
          new RequestOptions()
              .setMethod(HttpMethod.POST)
              .setHost("127.0.0.1")
              .setPort(port)
              .setURI("/v1/completions");
      client
          .request(options)
          .compose(this::send)
          .onSuccess(this::read)
          .onFailure(cause -> recordError(cause.toString()));
    }

    private Future<HttpClientResponse> send(HttpClientRequest request) {
      request.putHeader("Authorization", "Bearer " + key);
      request.putHeader("Content-Type", "application/json");
      request.putHeader("Cactusseam-Stream", "benchmark-" + System.nanoTime() + "-" + number);
      request.putHeader("Cactusseam-Deadline-Ms", "1800000");
      return request.send(
          "{\"model\":\"llm\",\"prompt\":\"stream "
              + number
              + "\",\"max_tokens\":100000,\"stream\":true}");
    }

    private void read(HttpClientResponse response) {
      if (response.statusCode() != STATUS_OK) {
        response.body().onSuccess(body -> recordError(response.statusCode() + " " + body));
        return;
      }
      RecordParser events = RecordParser.newDelimited("\n\n", response);
      events.handler(this::handleEvent);
      events.exceptionHandler(cause -> recordError(cause.toString()));
      events.endHandler(ignored -> recordError("stream ended before the benchmark closed it"));
    }

    private void handleEvent(Buffer block) {
      long now = System.nanoTime();
      String text = block.toString();
      String id = text.substring(0, Math.max(0, text.indexOf('\n')));
      String index = id.substring(Math.max(id.lastIndexOf(":"), id.lastIndexOf(" ")) + 1);
      if (!index.equals(Long.toString(nextIndex))) {
        recordError("expected token " + nextIndex + " but got " + text);
        return;
      }
      nextIndex++;
      if (lastTokenNanos == 0) {
        firstToken.recordValue(now - openedNanos);
      } else {
        betweenTokens.recordValue(now - lastTokenNanos);
      }
      tokens.increment();
      lastTokenNanos = now;
    }

    private void recordError(String text) {
      if (!closed) {
        errors.add("stream " + number + ": " + text);
      }
    }
  }
}
