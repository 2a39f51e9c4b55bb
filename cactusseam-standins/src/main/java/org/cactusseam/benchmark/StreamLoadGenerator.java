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

/** Streams that stay open, and the times at which their tokens arrive, in nanoseconds. */
final class StreamLoadGenerator implements AutoCloseable {

  private static final int EVENT_LOOPS = 2;
  private static final int POOL_SIZE = 4_000;
  private static final int DIGITS = 3;
  private static final int STATUS_OK = 200;

  /** Opening at a steady pace keeps the time to the first token free of queues at the engine. */
  private static final Duration PACE = Duration.ofMillis(10);

  private final Vertx vertx;
  private final HttpClient client;
  private final String key;
  private final List<Stream> streams = new ArrayList<>();
  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
  private final Histogram firstToken = new ConcurrentHistogram(DIGITS);
  private volatile Histogram betweenTokens = new ConcurrentHistogram(DIGITS);
  private volatile LongAdder tokens = new LongAdder();
  private volatile boolean closed;

  StreamLoadGenerator(Vertx vertx, String key) {
    this.vertx = vertx;
    this.key = key;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions(),
            new PoolOptions().setHttp1MaxSize(POOL_SIZE).setEventLoopSize(EVENT_LOOPS));
  }

  /** Opens streams until {@code count} are open, in turn at the ports. */
  void openUpTo(int count, List<Integer> ports) {
    while (streams.size() < count) {
      int number = streams.size();
      Stream stream = new Stream(number);
      streams.add(stream);
      stream.open(ports.get(number % ports.size()));
      pause(PACE);
    }
  }

  /** Forgets the measured times between tokens and the number of tokens. */
  void restart() {
    betweenTokens = new ConcurrentHistogram(DIGITS);
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

  /** Counts the streams that received a token in the last second. */
  long countActive() {
    long since = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
    return streams.stream().filter(stream -> stream.previous > since).count();
  }

  List<String> faults() {
    return List.copyOf(faults);
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

  /** One open stream. Confined to the event loop of its connection, but for the last time. */
  private final class Stream {
    private final int number;
    private final long opened = System.nanoTime();
    private volatile long previous;
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
          .onFailure(cause -> fault(cause.toString()));
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
        response.body().onSuccess(body -> fault(response.statusCode() + " " + body));
        return;
      }
      RecordParser events = RecordParser.newDelimited("\n\n", response);
      events.handler(this::event);
      events.exceptionHandler(cause -> fault(cause.toString()));
      events.endHandler(ignored -> fault("ended early"));
    }

    private void event(Buffer block) {
      long now = System.nanoTime();
      String text = block.toString();
      String id = text.substring(0, Math.max(0, text.indexOf('\n')));
      String index = id.substring(Math.max(id.lastIndexOf(":"), id.lastIndexOf(" ")) + 1);
      if (!index.equals(Long.toString(nextIndex))) {
        fault("expected token " + nextIndex + " but got " + text);
        return;
      }
      nextIndex++;
      if (previous == 0) {
        firstToken.recordValue(now - opened);
      } else {
        betweenTokens.recordValue(now - previous);
      }
      tokens.increment();
      previous = now;
    }

    private void fault(String text) {
      if (!closed) {
        faults.add("stream " + number + ": " + text);
      }
    }
  }
}
