package org.cactusseam.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cactusseam.edge.metrics.RequestMetrics;
import org.cactusseam.logic.replay.PausedClock;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.PoolName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.Route;
import org.cactusseam.model.RouteName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

/** Guards against a request that is written after its permit expired and leaves no log event. */
class RequestTelemetryTest {

  private static final Instant VALID_UNTIL = Instant.ofEpochMilli(1_000);

  private final PausedClock clock = new PausedClock();
  private final ListAppender<ILoggingEvent> logEvents = new ListAppender<>();
  private final Logger logger = (Logger) LoggerFactory.getLogger(RequestTelemetry.class);
  private final RequestTelemetry telemetry =
      new RequestTelemetry(
          clock,
          new RequestMetrics(clock),
          new RequestInfo(
              "r-1",
              new ClientAccount(
                  new AccountName("salon"), new PriorityClassName("first"), 1, List.of()),
              new Route(
                  new RouteName("letters"),
                  "/v1/completions",
                  Optional.of("llm"),
                  new PoolName("engines"),
                  BackendKind.ENGINE,
                  true,
                  9_000),
              Instant.EPOCH,
              Instant.ofEpochMilli(9_000),
              "fingerprint"));

  @BeforeEach
  void attachAppender() {
    logEvents.start();
    logger.addAppender(logEvents);
  }

  @AfterEach
  void detachAppender() {
    logger.detachAppender(logEvents);
  }

  /** The event is the only trace of a process pause between the permit check and the write. */
  @ParameterizedTest(name = "written at {0} ms: {1}")
  @CsvSource({"999, 0", "1000, 0", "1001, 1", "9000, 1"})
  void a_write_after_the_permit_expired_is_logged(long writtenMillis, int expectedEvents) {
    clock.setMillis(writtenMillis);
    telemetry.recordWritten("engine-3", VALID_UNTIL);

    List<String> lateEvents =
        logEvents.list.stream()
            .map(ILoggingEvent::getFormattedMessage)
            .filter(line -> line.startsWith("request_sent_late server=engine-3"))
            .toList();
    assertThat(lateEvents.size(), is(expectedEvents));
  }
}
