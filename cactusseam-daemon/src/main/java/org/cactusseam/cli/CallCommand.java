package org.cactusseam.cli;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import joptsimple.ArgumentAcceptingOptionSpec;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cactusseam.edge.http.HttpClients;
import org.cactusseam.model.DurationText;

/**
 * Subcommand {@code call}: sends completion requests, verifies their streams and resumes broken
 * ones.
 */
public final class CallCommand implements Subcommand {

  private static final int MAX_CONCURRENCY = 10_000;

  private final OptionParser parser = new OptionParser();
  private final ConnectionOptions connection = new ConnectionOptions(parser, "1min");
  private final OptionSpec<String> model = text("model", "model of the request", "NAME").required();
  private final OptionSpec<String> prompt =
      text("prompt", "prompt of the request", "TEXT").required();
  private final OptionSpec<Void> chat =
      parser.accepts("chat", "sends the prompt as a message to /v1/chat/completions");
  private final OptionSpec<Integer> maxTokens =
      number("max-tokens", "maximum number of output tokens", 256);
  private final OptionSpec<String> deadline =
      text("deadline", "deadline of the request", "DURATION");
  private final OptionSpec<String> idempotencyKey =
      text("idempotency-key", "idempotency key of a single call", "UUID");
  private final OptionSpec<Integer> resumes =
      number("resumes", "how often a call may fail over to the next server", 5);
  private final OptionSpec<Integer> count = number("count", "number of calls", 1);
  private final OptionSpec<Integer> concurrency =
      number("concurrency", "maximum number of concurrent calls", 1);
  private final OptionSpec<Void> json =
      parser.accepts("json", "prints only the totals, as JSON; implied by --count");

  /** Declares the options. */
  public CallCommand() {}

  private ArgumentAcceptingOptionSpec<String> text(
      String name, String description, String argument) {
    return parser.accepts(name, description).withRequiredArg().describedAs(argument);
  }

  private OptionSpec<Integer> number(String name, String description, int defaultValue) {
    return parser
        .accepts(name, description)
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(defaultValue);
  }

  @Override
  public String name() {
    return "call";
  }

  @Override
  public String summary() {
    return "sends completion requests and checks their streams";
  }

  @Override
  public OptionParser parser() {
    return parser;
  }

  @Override
  public ExitCode run(OptionSet options, Terminal terminal) {
    CallPlan plan = plan(options);
    int calls = positive(options, count, "--count");
    int parallel = Math.min(positive(options, concurrency, "--concurrency"), calls);
    if (parallel > MAX_CONCURRENCY) {
      throw new UsageException("--concurrency must be at most " + MAX_CONCURRENCY);
    }
    if (options.has(idempotencyKey) && calls > 1) {
      throw new UsageException("--idempotency-key can only be used with a single call");
    }
    boolean printsOnlyTotals = options.has(json) || calls > 1;
    Consumer<String> output = printsOnlyTotals ? token -> {} : token -> print(token, terminal);
    // A single event loop, so that the totals need no locking.
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    try {
      HttpClient http =
          HttpClients.create(
              vertx, connection.http(options), new PoolOptions().setHttp1MaxSize(parallel));
      Clock clock = Clock.systemUTC();
      Instant start = clock.instant();
      CallRun run = new CallRun(vertx, http, plan, clock, calls, output);
      CallTotals totals = run.run(parallel).toCompletionStage().toCompletableFuture().join();
      if (printsOnlyTotals) {
        terminal.out().println(totals.toJson(Duration.between(start, clock.instant())));
      } else {
        printSummary(run.last().orElseThrow(), totals, terminal);
      }
      return totals.exitCode();
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private static int positive(OptionSet options, OptionSpec<Integer> option, String name) {
    int value = options.valueOf(option);
    if (value < 1) {
      throw new UsageException(name + " must be at least 1");
    }
    return value;
  }

  private CallPlan plan(OptionSet options) {
    String text = options.valueOf(prompt);
    JsonObject body =
        new JsonObject()
            .put("model", options.valueOf(model))
            .put("max_tokens", positive(options, maxTokens, "--max-tokens"))
            .put("stream", true);
    if (options.has(chat)) {
      JsonObject message = new JsonObject().put("role", "user").put("content", text);
      body.put("messages", new JsonArray().add(message));
    } else {
      body.put("prompt", text);
    }
    return new CallPlan(
        connection.servers(options),
        connection.key(options),
        options.has(chat) ? "/v1/chat/completions" : "/v1/completions",
        body.encode(),
        Optional.ofNullable(options.valueOf(deadline)).map(CallCommand::duration),
        Optional.ofNullable(options.valueOf(idempotencyKey)),
        Math.max(0, options.valueOf(resumes)),
        connection.timeout(options));
  }

  private static Duration duration(String text) {
    return DurationText.parse(text)
        .filter(Duration::isPositive)
        .orElseThrow(() -> new UsageException("--deadline needs " + DurationText.EXPECTED));
  }

  private static void print(String token, Terminal terminal) {
    terminal.out().print(token);
    terminal.out().flush();
  }

  private static void printSummary(CallResult result, CallTotals totals, Terminal terminal) {
    terminal.out().println();
    String ending = result.ending().name().toLowerCase(Locale.ROOT);
    terminal.err().println("ending: " + ending + code(result));
    result.generation().ifPresent(id -> terminal.err().println("generation: " + id));
    terminal.err().println("tokens: " + result.tokens() + ", resumes: " + result.resumes());
    result
        .firstToken()
        .ifPresent(time -> terminal.err().println("first token: " + time.toMillis() + " ms"));
    terminal
        .err()
        .println(
            "between tokens: p50 "
                + totals.betweenTokensMillis(50)
                + " ms, p99 "
                + totals.betweenTokensMillis(99)
                + " ms");
  }

  private static String code(CallResult result) {
    String number = result.code() == 0 ? "" : " " + result.code();
    return number + (result.message().isEmpty() ? "" : " (" + result.message() + ")");
  }
}
