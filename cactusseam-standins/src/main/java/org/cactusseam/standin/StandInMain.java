package org.cactusseam.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.cactusseam.standin.engine.EngineFaults;
import org.cactusseam.standin.engine.EngineOptions;
import org.cactusseam.standin.engine.EngineStandIn;
import org.cactusseam.standin.log.LogFaults;
import org.cactusseam.standin.log.LogStandIn;
import org.cactusseam.standin.plain.PlainFaults;
import org.cactusseam.standin.plain.PlainOptions;
import org.cactusseam.standin.plain.PlainServiceStandIn;
import org.cactusseam.standin.vmlist.VmListFaults;
import org.cactusseam.standin.vmlist.VmListStandIn;

/** Command-line entry point that runs one stand-in in its own process. */
public final class StandInMain {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final long CLOSE_TIMEOUT_SECONDS = 5;

  /** Subcommands, one for each kind of stand-in. */
  private enum Command {
    ENGINE("engine"),
    PLAIN_SERVICE("plain-service"),
    LOG("log"),
    VM_LIST("vm-list");

    private final String text;

    Command(String text) {
      this.text = text;
    }

    static Optional<Command> parse(String text) {
      return Arrays.stream(values()).filter(command -> command.text.equals(text)).findFirst();
    }

    static List<String> names() {
      return Arrays.stream(values()).map(command -> command.text).toList();
    }
  }

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<Integer> port =
      parser
          .accepts("port", "port of the service; 0 selects a free port")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(0);
  private final OptionSpec<String> host =
      parser
          .accepts("host", "address to listen on")
          .withRequiredArg()
          .defaultsTo(Endpoint.LOOPBACK);
  private final OptionSpec<Integer> adminPort =
      parser
          .accepts(
              "admin-port",
              "additional port for /faults and counters, reachable while the service is not reachable")
          .withRequiredArg()
          .ofType(Integer.class);
  private final OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();

  private StandInMain() {}

  /**
   * Starts a stand-in. Prints {@code listening on PORT} when it is ready and exits with code 0 on
   * SIGTERM, 1 if it cannot start and 2 for invalid arguments.
   *
   * @param arguments subcommand followed by its options
   */
  public static void main(String[] arguments) {
    Vertx vertx = Vertx.vertx();
    // Without halt() the exit code would be the one derived from the signal.
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(() -> Runtime.getRuntime().halt(close(vertx) ? EXIT_OK : EXIT_FAILURE)));
    OptionalInt exitCode = new StandInMain().run(vertx, List.of(arguments), System.out, System.err);
    exitCode.ifPresent(Runtime.getRuntime()::halt);
  }

  /**
   * Starts a stand-in. Returns the exit code if the process should end at once, and empty if the
   * stand-in runs.
   */
  private OptionalInt run(Vertx vertx, List<String> arguments, PrintStream out, PrintStream err) {
    Optional<Command> command =
        arguments.isEmpty() ? Optional.empty() : Command.parse(arguments.getFirst());
    if (command.isEmpty()) {
      err.println("usage: " + String.join("|", Command.names()) + " [--help] [options]");
      return OptionalInt.of(arguments.equals(List.of("--help")) ? EXIT_OK : EXIT_USAGE);
    }
    try {
      List<String> rest = arguments.subList(1, arguments.size());
      return start(vertx, command.get(), rest.toArray(String[]::new), out);
    } catch (OptionException | InvalidInputException e) {
      err.println(e.getMessage());
      return OptionalInt.of(EXIT_USAGE);
    } catch (IOException | RuntimeException e) {
      err.println("cannot start: " + e);
      return OptionalInt.of(EXIT_FAILURE);
    }
  }

  private OptionalInt start(Vertx vertx, Command command, String[] arguments, PrintStream out)
      throws IOException {
    StandInFactory factory = declareOptions(command);
    OptionSet options = parser.parse(arguments);
    if (options.has(help)) {
      parser.printHelpOn(out);
      return OptionalInt.of(EXIT_OK);
    }
    OptionalInt admin =
        options.has(adminPort) ? OptionalInt.of(options.valueOf(adminPort)) : OptionalInt.empty();
    Endpoint endpoint = new Endpoint(options.valueOf(host), options.valueOf(port), admin);
    StandIn<?> standIn = factory.create(endpoint, options);
    Future.await(vertx.deployVerticle(standIn));
    out.println("listening on " + standIn.port());
    out.flush();
    return OptionalInt.empty();
  }

  /** Creates a stand-in from parsed options. */
  private interface StandInFactory {
    StandIn<?> create(Endpoint endpoint, OptionSet options);
  }

  private StandInFactory declareOptions(Command command) {
    Clock clock = Clock.systemUTC();
    return switch (command) {
      case ENGINE -> {
        var settings = new RecordOptions<>(parser, EngineOptions.DEFAULTS);
        var faults = new RecordOptions<>(parser, EngineFaults.NONE);
        yield (endpoint, options) ->
            new EngineStandIn(endpoint, settings.read(options), faults.read(options), clock);
      }
      case PLAIN_SERVICE -> {
        var settings = new RecordOptions<>(parser, PlainOptions.DEFAULTS);
        var faults = new RecordOptions<>(parser, PlainFaults.NONE);
        yield (endpoint, options) ->
            new PlainServiceStandIn(endpoint, settings.read(options), faults.read(options), clock);
      }
      case LOG -> {
        var faults = new RecordOptions<>(parser, LogFaults.NONE);
        yield (endpoint, options) -> new LogStandIn(endpoint, faults.read(options), clock);
      }
      case VM_LIST -> {
        var faults = new RecordOptions<>(parser, VmListFaults.NONE);
        yield (endpoint, options) -> new VmListStandIn(endpoint, faults.read(options), clock);
      }
    };
  }

  private static boolean close(Vertx vertx) {
    try {
      vertx.close().await(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return true;
    } catch (TimeoutException | RuntimeException e) {
      return false;
    }
  }
}
