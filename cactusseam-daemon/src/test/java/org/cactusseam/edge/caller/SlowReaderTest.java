package org.cactusseam.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.atomic.AtomicLong;
import org.cactusseam.edge.backend.GenerationRelay;
import org.cactusseam.edge.backend.TestEngines;
import org.cactusseam.logic.stream.GenerationId;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against unbounded buffering for a caller that does not read its stream, which would
 * exhaust the memory of a small VM.
 */
class SlowReaderTest {

  private static final int TOKENS = 3_000;
  private static final int TEXT_BYTES = 1_000;
  private static final int EVENTS_PER_STREAM = 256;
  private static final int WRITE_QUEUE_BYTES = EVENTS_PER_STREAM * 256;

  /** Allowance for bytes that were read from the engine before its connection was paused. */
  private static final int READ_AHEAD_BYTES = 64 * 1024;

  /**
   * Size of the kernel's socket buffers at both ends; larger ones would hold the whole response.
   */
  private static final int KERNEL_BUFFER_BYTES = 64 * 1024;

  private static final long SAMPLE_MILLIS = 10;
  private static final int SAMPLES_WITHOUT_PROGRESS = 50;
  private static final String CHUNK =
      "{\"choices\":[{\"text\":\"" + "x".repeat(TEXT_BYTES) + "\",\"finish_reason\":null}]}";
  private static final String FINISH =
      "{\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],"
          + "\"usage\":{\"completion_tokens\":"
          + TOKENS
          + "}}";

  private final Vertx vertx = Vertx.vertx();
  private final AtomicLong deliveredTokens = new AtomicLong();
  private final AtomicLong maximumPendingBytes = new AtomicLong();

  @AfterEach
  void stop() {
    vertx.close().await();
  }

  @Test
  void pending_bytes_are_bounded_while_a_caller_does_not_read_and_no_token_is_lost()
      throws Exception {
    int engine = listen(new HttpServerOptions(), request -> writeTokens(request.response()));
    HttpServerOptions options = CallerServer.options(8_192).setSendBufferSize(KERNEL_BUFFER_BYTES);
    int entry = listen(options, request -> relay(request, engine));

    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(KERNEL_BUFFER_BYTES);
      caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), entry));
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      awaitNoProgress();

      assertThat("the engine is paused", deliveredTokens.get(), lessThan((long) TOKENS));
      assertThat(
          maximumPendingBytes.get(),
          lessThanOrEqualTo((long) WRITE_QUEUE_BYTES + 2 * READ_AHEAD_BYTES));
      assertThat(countTokensInOrder(caller), is((long) TOKENS));
      assertThat(
          maximumPendingBytes.get(),
          lessThanOrEqualTo((long) WRITE_QUEUE_BYTES + 2 * READ_AHEAD_BYTES));
    }
  }

  private int listen(HttpServerOptions options, io.vertx.core.Handler<HttpServerRequest> handler) {
    HttpServer server = vertx.createHttpServer(options).requestHandler(handler);
    return server.listen(0, "127.0.0.1").await().actualPort();
  }

  private static void writeTokens(HttpServerResponse response) {
    response.setChunked(true);
    for (int index = 0; index < TOKENS; index++) {
      response.write("id: " + index + "\ndata: " + CHUNK + "\n\n");
    }
    response.end("data: " + FINISH + "\n\ndata: [DONE]\n\n");
  }

  private void relay(HttpServerRequest request, int enginePort) {
    CallerServer.limitWriteQueue(request.response(), EVENTS_PER_STREAM);
    BackendServer engine = TestEngines.at(enginePort);
    GenerationId generation =
        new GenerationId(engine.name(), "run-1", "stream-1", new AccountName("salon"));
    CallerResponse callerResponse = new StreamedResponse(request.response(), new byte[32]);
    GenerationRelay relay =
        new GenerationRelay(
            vertx,
            Clock.systemUTC(),
            vertx.createHttpClient(),
            engine,
            generation,
            0,
            new MeasuringSink(callerResponse, generation, request));
    callerResponse.onDrain(relay::continueReading);
    relay.resume();
  }

  /** Forwards tokens as the daemon does and records the maximum of bytes pending for the caller. */
  private final class MeasuringSink implements GenerationRelay.Sink {
    private final CallerResponse callerResponse;
    private final GenerationId generation;
    private final HttpServerRequest request;

    MeasuringSink(
        CallerResponse callerResponse, GenerationId generation, HttpServerRequest request) {
      this.callerResponse = callerResponse;
      this.generation = generation;
      this.request = request;
    }

    @Override
    public void onToken(long index, String data) {
      callerResponse.writeToken(generation, index, data);
      deliveredTokens.incrementAndGet();
      long pending =
          ((ConnectionBase) request.connection())
              .channel()
              .unsafe()
              .outboundBuffer()
              .totalPendingWriteBytes();
      maximumPendingBytes.accumulateAndGet(pending, Math::max);
    }

    @Override
    public void onCompleted(String finish, long tokens) {
      callerResponse.complete(generation, finish, tokens);
    }

    @Override
    public void onLost(ResultCode code, String detail) {
      callerResponse.refuse(Refusal.permanent(code, detail));
    }

    @Override
    public boolean isFull() {
      return callerResponse.isFull();
    }
  }

  private void awaitNoProgress() throws InterruptedException {
    long previous = -1;
    int samples = 0;
    while (samples < SAMPLES_WITHOUT_PROGRESS) {
      long now = deliveredTokens.get();
      samples = now == previous && now > 0 ? samples + 1 : 0;
      previous = now;
      Thread.sleep(SAMPLE_MILLIS);
    }
  }

  private static long countTokensInOrder(Socket caller) throws IOException {
    BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
    long next = 0;
    String line = lines.readLine();
    while (line != null && !line.equals("data: [DONE]")) {
      if (line.startsWith("id: ") && line.endsWith(":" + next)) {
        next++;
      }
      line = lines.readLine();
    }
    return next;
  }
}
