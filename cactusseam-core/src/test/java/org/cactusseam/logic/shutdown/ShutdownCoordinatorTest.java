package org.cactusseam.logic.shutdown;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cactusseam.logic.replay.PausedClock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against shutdowns that interrupt requests, that never end, or that exit before shards and
 * claim records are handed over.
 */
class ShutdownCoordinatorTest {

  private static final int SECONDS = 700;
  private static final ShutdownSettings SETTINGS =
      new ShutdownSettings(Duration.ofSeconds(10), Duration.ofSeconds(60));

  private final PausedClock clock = new PausedClock(Instant.parse("2026-03-01T10:00:00Z"));
  private final ShutdownCoordinator coordinator = new ShutdownCoordinator(SETTINGS, clock);
  private int waiting;
  private int resumable;
  private int unresumable;
  private int shards = 1;
  private int claims;

  /**
   * Each event has the form "second event". stream=1 opens a resumable stream, plain=1 a request
   * that cannot be resumed, and queued=1 a request that is not sent yet. left means that the Leave
   * record was read back, and shards=0 that the handover is complete.
   */
  @ParameterizedTest(name = "{0}: {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        // Without a signal nothing happens.
        "0 stream=1 | ",
        // An idle daemon stays in service for the grace period.
        "0 signal, 1 left, 1 shards=0 | 0 ready-, 0 leave, 10 refuse, 10 exit",
        // A stream that ends within the drain time is not interrupted.
        "0 stream=1, 0 signal, 1 left, 1 shards=0, 30 stream=0 | 0 ready-, 0 leave, 10 refuse, 30 exit",
        // A request that arrives in the grace period is served.
        "0 signal, 1 left, 1 shards=0, 9 plain=1, 20 plain=0 | 0 ready-, 0 leave, 10 refuse, 20 exit",
        // A stream that exceeds the drain time is moved to another daemon.
        "0 stream=1, 0 signal, 1 left, 1 shards=0, 71 stream=0 "
            + "| 0 ready-, 0 leave, 10 refuse, 70 refuse-waiting, 70 resume, 71 exit",
        // A caller that does not read the last event does not block the shutdown.
        "0 stream=1, 0 signal, 1 left, 1 shards=0 "
            + "| 0 ready-, 0 leave, 10 refuse, 70 refuse-waiting, 70 resume, 72 exit",
        // A request that cannot be resumed is awaited after the drain time.
        "0 plain=1, 0 signal, 1 left, 1 shards=0, 300 plain=0 "
            + "| 0 ready-, 0 leave, 10 refuse, 70 refuse-waiting, 70 resume, 300 exit",
        // The second signal in the grace period interrupts everything.
        "0 stream=1, 0 plain=1, 0 signal, 5 signal, 6 stream=0, 6 plain=0 "
            + "| 0 ready-, 0 leave, 5 refuse, 5 refuse-waiting, 5 resume, 5 uncertain, 6 exit",
        // After the second signal the process exits even if callers do not read.
        "0 stream=1, 0 signal, 20 signal "
            + "| 0 ready-, 0 leave, 10 refuse, 20 refuse-waiting, 20 resume, 20 uncertain, 22 exit",
        // A second signal after the drain time does not send the resume event again.
        "0 plain=1, 0 signal, 80 signal, 81 plain=0 "
            + "| 0 ready-, 0 leave, 10 refuse, 70 refuse-waiting, 70 resume, 80 uncertain, 81 exit",
        // A second signal without open requests exits the process immediately.
        "0 signal, 3 signal | 0 ready-, 0 leave, 3 refuse, 3 refuse-waiting, 3 resume, 3 uncertain, 3 exit",
        // A third signal exits without waiting for callers.
        "0 stream=1, 0 signal, 20 signal, 21 signal "
            + "| 0 ready-, 0 leave, 10 refuse, 20 refuse-waiting, 20 resume, 20 uncertain, 21 exit",
        // While the log is unavailable, shards are handed over by message only.
        "0 log-, 0 signal, 2 shards=0 | 0 ready-, 0 hand-over, 10 refuse, 10 exit",
        // The log fails after the signal, before Leave is recorded.
        "0 signal, 2 log-, 3 shards=0 | 0 ready-, 0 leave, 2 hand-over, 10 refuse, 10 exit",
        // The log becomes available again: Leave is appended and awaited.
        "0 log-, 0 signal, 2 shards=0, 5 log+, 15 left "
            + "| 0 ready-, 0 hand-over, 5 leave, 10 refuse, 15 exit",
        // An outage after Leave was recorded needs no second handover.
        "0 signal, 1 left, 2 log-, 3 shards=0 | 0 ready-, 0 leave, 10 refuse, 10 exit",
        // A successor that does not take over delays the exit by at most the handover limit.
        "0 signal, 1 left | 0 ready-, 0 leave, 10 refuse, 20 exit",
        // Claim records are awaited for at most the handover limit.
        "0 claims=2, 0 signal, 1 left, 1 shards=0, 13 claims=0 | 0 ready-, 0 leave, 10 refuse, 13 exit",
        "0 claims=2, 0 signal, 1 left, 1 shards=0 | 0 ready-, 0 leave, 10 refuse, 20 exit",
        // A request that waits for a permit is refused at the end of the drain time.
        "0 queued=1, 0 signal, 1 left, 1 shards=0, 70 queued=0 "
            + "| 0 ready-, 0 leave, 10 refuse, 70 refuse-waiting, 70 resume, 70 exit"
      })
  void a_daemon_shuts_down_in_order(String events, String expected) {
    List<String> actual = new ArrayList<>();
    for (int second = 0; second < SECONDS; second++) {
      for (String event : events.split(", ")) {
        if (event.startsWith(second + " ")) {
          apply(event.substring(event.indexOf(' ') + 1).strip());
        }
      }
      coordinator.tick();
      for (ShutdownAction action : coordinator.drain()) {
        actual.add(second + " " + name(action));
      }
      clock.advance(Duration.ofSeconds(1));
    }

    assertThat(String.join(", ", actual), is(expected == null ? "" : expected));
  }

  private void apply(String event) {
    String value = event.substring(event.indexOf('=') + 1);
    switch (event.split("=")[0]) {
      case "signal" -> coordinator.signalReceived();
      case "left" -> coordinator.leaveRecorded();
      case "log-" -> coordinator.logAvailabilityChanged(false);
      case "log+" -> coordinator.logAvailabilityChanged(true);
      case "stream" -> resumable = Integer.parseInt(value);
      case "plain" -> unresumable = Integer.parseInt(value);
      case "queued" -> waiting = Integer.parseInt(value);
      case "shards" -> shards = Integer.parseInt(value);
      case "claims" -> claims = Integer.parseInt(value);
      default -> throw new IllegalArgumentException(event);
    }
    coordinator.openRequestsChanged(new OpenRequests(waiting, resumable, unresumable));
    coordinator.handoverRemaining(shards, claims);
  }

  private static String name(ShutdownAction action) {
    return switch (action) {
      case ShutdownAction.FailReadiness ready -> "ready-";
      case ShutdownAction.HandOver handOver -> handOver.appendLeave() ? "leave" : "hand-over";
      case ShutdownAction.RefuseNew refuse -> "refuse";
      case ShutdownAction.RefuseWaiting refuse -> "refuse-waiting";
      case ShutdownAction.AskToResume resume -> "resume";
      case ShutdownAction.AnswerUncertain uncertain -> "uncertain";
      case ShutdownAction.Exit exit -> "exit";
    };
  }
}
