package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a roll-out by operators' commands that does not end in the right stage, or after
 * which servers of the wrong version receive requests.
 */
class RolloutCommandsTest {

  private static final int CALLERS = 8;
  private static final Duration CALL_INTERVAL = Duration.ofMillis(80);
  private static final Duration END_TIMEOUT = Duration.ofSeconds(25);
  private static final List<String> ENTRY_DAEMONS = List.of("entry-1", "entry-2");

  private final SystemUnderTest system = new SystemUnderTest();
  private final AtomicBoolean stopped = new AtomicBoolean();

  @AfterEach
  void stop() {
    stopped.set(true);
    system.close();
  }

  private void declare(String server, String domain, String version) {
    system.runAcceptedCommand(
        "entry-1",
        "create server %s pool app domain %s kind plain address 127.0.0.1:%d fencing ignored"
                .formatted(server, domain, system.port(server))
            + " cold-limit 4 warm-limit 64 version \"%s\"".formatted(version));
  }

  private long executions(String server) {
    return system.readNumber(server, "/executions", "total");
  }

  private void call(String entry) {
    while (!stopped.get()) {
      Http.send(
          Http.request(system.port(entry), "/catalogue")
              .header("Authorization", "Bearer " + SystemUnderTest.KEY)
              .POST(HttpRequest.BodyPublishers.ofString("{}")));
      Eventually.pause(CALL_INTERVAL);
    }
  }

  @ParameterizedTest(name = "{0} ms: {1}")
  @CsvSource({"20, completed, app-3, app-1", "600, reverted, app-1, app-3"})
  void a_version_is_tried_out_and_gets_or_loses_the_traffic(
      int newServiceMillis, String stage, String serving, String idle) {
    for (String server : List.of("app-1", "app-2")) {
      system.startPlainService(server, "--service-ms", "20");
    }
    for (String server : List.of("app-3", "app-4")) {
      system.startPlainService(server, "--service-ms", Integer.toString(newServiceMillis));
    }
    system.startEntryDaemon("entry-1", "ost-wien", "ost");
    system.startEntryDaemon("entry-2", "ost-graz", "ost");
    system.awaitReady("entry-1", "entry-2");
    system.declareBasics("entry-1");
    declare("app-1", "ost-wien", "v1");
    declare("app-2", "ost-graz", "v1");
    List<CompletableFuture<Void>> calls = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      String entry = ENTRY_DAEMONS.get(number % ENTRY_DAEMONS.size());
      calls.add(
          BackgroundCalls.callAsync(
              () -> {
                call(entry);
                return null;
              }));
    }

    system.runAcceptedCommand("entry-1", "roll pool app to version \"v2\" within 15s");
    declare("app-3", "ost-wien", "v2");
    declare("app-4", "ost-graz", "v2");

    for (String entry : ENTRY_DAEMONS) {
      Eventually.await(
          "roll-out is over",
          END_TIMEOUT,
          () -> {
            String shown = system.runCommand(entry, "show rollouts");
            return shown.contains("completed") || shown.contains("reverted");
          });
    }
    String shown = system.runCommand("entry-2", "show rollouts");
    assertThat(shown, allOf(containsString(stage), containsString("v2")));
    Eventually.pause(Duration.ofSeconds(5));
    final long idleBefore = executions(idle);
    final long servingBefore = executions(serving);
    assertThat(executions("app-3"), greaterThan(0L));
    Eventually.pause(Duration.ofSeconds(2));
    assertThat(shown, executions(idle), is(idleBefore));
    assertThat(shown, executions(serving), greaterThan(servingBefore));
    stopped.set(true);
    calls.forEach(CompletableFuture::join);
  }
}
