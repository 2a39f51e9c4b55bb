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

/** Guards against a caller that does not read filling the memory of a small VM. */
class SlowReaderTest {

  private static final int TOKENS = 3_000;
  private static final int TEXT_BYTES = 1_000;
  private static final int EVENTS = 256;
  private static final int QUEUE_BYTES = EVENTS * 256;

  /** What was read from the engine before its connection paused is still passed on. */
  private static final int READ_BYTES = 64 * 1024;

  /** Buffers of the kernel on both ends; larger ones would take in the whole answer. */
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
  private final AtomicLong delivered = new AtomicLong();
  private final AtomicLong mostPending = new AtomicLong();

  @AfterEach
  void stop() {
    vertx.close().await();
  }

  @Test
  void memory_is_bounded_while_a_caller_does_not_read_and_no_token_is_lost() throws Exception {
    int engine = listen(new HttpServerOptions(), request -> writeTokens(request.response()));
    HttpServerOptions options = CallerServer.options(8_192).setSendBufferSize(KERNEL_BUFFER_BYTES);
    int entry = listen(options, request -> relay(request, engine));

    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(KERNEL_BUFFER_BYTES);
      caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), entry));
      caller
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      awaitStandstill();

      assertThat("the engine is paused", delivered.get(), lessThan((long) TOKENS));
      assertThat(mostPending.get(), lessThanOrEqualTo((long) QUEUE_BYTES + 2 * READ_BYTES));
      assertThat(tokensInOrder(caller), is((long) TOKENS));
      assertThat(mostPending.get(), lessThanOrEqualTo((long) QUEUE_BYTES + 2 * READ_BYTES));
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
    CallerServer.boundBuffer(request.response(), EVENTS);
    BackendServer engine = TestEngines.at(enginePort);
    GenerationId generation =
        new GenerationId(engine.name(), "run-1", "stream-1", new AccountName("salon"));
    CallerResponse answer = new StreamedResponse(request.response(), new byte[32]);
    GenerationRelay relay =
        new GenerationRelay(
            vertx,
            Clock.systemUTC(),
            vertx.createHttpClient(),
            engine,
            generation,
            0,
            new PassingSink(answer, generation, request));
    answer.onDrain(relay::proceed);
    relay.resume();
  }

  /** Passes tokens on as the daemon does and notes the bytes that wait for the caller. */
  private final class PassingSink implements GenerationRelay.Sink {
    private final CallerResponse answer;
    private final GenerationId generation;
    private final HttpServerRequest request;

    PassingSink(CallerResponse answer, GenerationId generation, HttpServerRequest request) {
      this.answer = answer;
      this.generation = generation;
      this.request = request;
    }

    @Override
    public void token(long index, String data) {
      answer.token(generation, index, data);
      delivered.incrementAndGet();
      long pending =
          ((ConnectionBase) request.connection())
              .channel()
              .unsafe()
              .outboundBuffer()
              .totalPendingWriteBytes();
      mostPending.accumulateAndGet(pending, Math::max);
    }

    @Override
    public void completed(String finish, long tokens) {
      answer.complete(generation, finish, tokens);
    }

    @Override
    public void lost(ResultCode code, String detail) {
      answer.refuse(Refusal.permanent(code, detail));
    }

    @Override
    public boolean isFull() {
      return answer.isFull();
    }
  }

  private void awaitStandstill() throws InterruptedException {
    long seen = -1;
    int samples = 0;
    while (samples < SAMPLES_WITHOUT_PROGRESS) {
      long now = delivered.get();
      samples = now == seen && now > 0 ? samples + 1 : 0;
      seen = now;
      Thread.sleep(SAMPLE_MILLIS);
    }
  }

  private static long tokensInOrder(Socket caller) throws IOException {
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
