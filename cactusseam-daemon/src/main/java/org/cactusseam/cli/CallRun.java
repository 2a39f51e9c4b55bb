package org.cactusseam.cli;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Runs a number of calls with bounded concurrency, on a single event loop. */
final class CallRun {

  private final Vertx vertx;
  private final HttpClient http;
  private final CallPlan plan;
  private final Clock clock;
  private final int count;
  private final Consumer<String> output;
  private final CallTotals totals = new CallTotals();
  private final Promise<CallTotals> done = Promise.promise();
  private Optional<CallResult> last = Optional.empty();
  private int started;
  private int ended;

  /**
   * Creates a run.
   *
   * @param vertx event loop that runs the calls
   * @param http HTTP client
   * @param plan request that each call sends
   * @param clock clock for the measured times
   * @param count total number of calls
   * @param output consumer of the text of each token
   */
  CallRun(
      Vertx vertx,
      HttpClient http,
      CallPlan plan,
      Clock clock,
      int count,
      Consumer<String> output) {
    this.vertx = vertx;
    this.http = http;
    this.plan = plan;
    this.clock = clock;
    this.count = count;
    this.output = output;
  }

  /**
   * Starts the calls; each one that finishes starts the next.
   *
   * @param concurrency maximum number of concurrent calls
   * @return totals, when the last call has finished
   */
  Future<CallTotals> run(int concurrency) {
    vertx.runOnContext(
        ignored -> {
          for (int call = 0; call < concurrency; call++) {
            startNext();
          }
        });
    return done.future();
  }

  private void startNext() {
    if (started == count) {
      return;
    }
    CompletionCall call = new CompletionCall(vertx, http, plan, started, clock, this::receive);
    started++;
    call.run().onSuccess(this::finish);
  }

  private void receive(String text, Optional<Duration> sincePrevious) {
    sincePrevious.ifPresent(totals::addGap);
    output.accept(text);
  }

  private void finish(CallResult result) {
    totals.add(result);
    last = Optional.of(result);
    ended++;
    if (ended == count) {
      done.complete(totals);
    } else {
      startNext();
    }
  }

  /**
   * Returns the result of the call that finished last.
   *
   * @return result, present when the future of {@link #run} is complete
   */
  Optional<CallResult> last() {
    return last;
  }
}
