package org.cactusseam.system;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.cactusseam.standin.engine.TokenText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies that a daemon which cannot read the control log does not act on a stale configuration
 * while other daemons accept orders.
 */
class CutOffFromTheLogTest {

  private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(15);

  private final SystemUnderTest system = new SystemUnderTest();
  private TcpProxy logProxy;
  private TcpProxy logProxyOfOtherRegion;

  @BeforeEach
  void start() {
    system.startEngine("engine-1", "--cold-limit", "4");
    system.startEngine("engine-2", "--cold-limit", "4");
    logProxy = system.startEntryDaemonBehindProxy("entry-1", "ost-wien", "ost");
    system.startEntryDaemon("entry-2", "ost-graz", "ost");
    logProxyOfOtherRegion = system.startEntryDaemonBehindProxy("entry-3", "west-ibk", "west");
    system.awaitReady("entry-1", "entry-2", "entry-3");
    system.declareBasics("entry-2");
    system.declareEngine("entry-2", "engine-1", "ost-wien", 4, 16);
    system.declareEngine("entry-2", "engine-2", "ost-graz", 4, 16);
  }

  @AfterEach
  void stop() {
    system.close();
  }

  private ModelCall call(String prompt, String entry) {
    return new ModelCall(prompt, 5).send(system.port(entry));
  }

  @Test
  void a_daemon_that_cannot_read_the_log_sends_nothing_to_a_domain_that_was_taken_out() {
    logProxy.cut();

    system.runAcceptedCommand("entry-2", "take domain ost-wien out");
    long accepted = System.currentTimeMillis();
    for (int number = 0; number < 20; number++) {
      for (String entry : List.of("entry-1", "entry-2", "entry-3")) {
        call("cut " + number, entry);
      }
    }

    assertThat(
        system.readNumber("engine-1", "/violations?after_ms=" + accepted, "received_after"),
        is(0L));
    Eventually.await(
        "daemon serves although it cannot read the log",
        TAKEOVER_TIMEOUT,
        () -> call("served", "entry-1").complete);
  }

  /**
   * The only daemon of a region exchanges heartbeats with no peer, so it can learn of the change
   * only from the owner of the shard.
   */
  @Test
  void an_account_that_was_removed_is_refused_at_a_daemon_that_cannot_know_of_it() {
    assertThat(call("before", "entry-3").complete, is(true));
    logProxyOfOtherRegion.cut();

    system.runAcceptedCommand("entry-2", "remove account salon");
    ModelCall first = call("after", "entry-3");

    assertThat(first.complete, is(false));
    assertThat(first.error.orElse(""), containsString("\"execution\":\"not_run\""));
    Eventually.await(
        "daemon has learned of the removal from the owner",
        TAKEOVER_TIMEOUT,
        () -> call("later", "entry-3").error.orElse("").contains("\"code\":2002"));
  }

  @Test
  void a_daemon_that_was_cut_off_knows_all_orders_after_the_cut() {
    logProxy.cut();
    system.runAcceptedCommand("entry-2", "create class letters rank 2");
    system.runAcceptedCommand("entry-2", "take server engine-1 out");

    logProxy.restore();

    Eventually.await(
        "daemon shows the orders",
        TAKEOVER_TIMEOUT,
        () ->
            system.runCommand("entry-1", "show classes").contains("letters")
                && system
                    .runCommand("entry-1", "show servers")
                    .lines()
                    .anyMatch(line -> line.startsWith("engine-1") && line.contains(" out ")));
    assertThat(call("whole", "entry-1").text.toString(), is(TokenText.fullOutput("whole", 5)));
  }
}
