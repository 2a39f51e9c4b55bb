package org.cactusseam.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cactusseam.standin.StandInFixture.Answer;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Verifies that the faults which all stand-ins support take effect and end. */
class CommonFaultsTest {

  private static final Endpoint ANY = Endpoint.anyLoopback();
  private static final Clock CLOCK = Clock.systemUTC();

  private record Case(String name, Supplier<StandIn<?>> standIn, String path) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<Case> standIns() {
    return Stream.of(
        new Case(
            "engine",
            () -> new EngineStandIn(ANY, EngineOptions.DEFAULTS, EngineFaults.NONE, CLOCK),
            "/load"),
        new Case(
            "plain service",
            () -> new PlainServiceStandIn(ANY, PlainOptions.DEFAULTS, PlainFaults.NONE, CLOCK),
            "/any/path"),
        new Case(
            "log", () -> new LogStandIn(ANY, LogFaults.NONE, CLOCK), "/streams/control/records"),
        new Case("VM list", () -> new VmListStandIn(ANY, VmListFaults.NONE, CLOCK), "/vms"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("standIns")
  void a_hanging_service_answers_only_after_it_is_released(Case standIn) {
    try (StandInFixture fixture = StandInFixture.start(standIn.standIn.get())) {
      fixture.setFaults("{\"hang\":true}");
      CompletableFuture<Answer> held = fixture.sendAsync("GET", standIn.path, "");
      // The control routes of the same port answer the second request after the first one arrived.
      assertThat(fixture.get("/faults").json().get("hang").asBoolean(), is(true));
      assertThat(held.isDone(), is(false));

      fixture.send("DELETE", "/faults", "");

      assertThat(held.join().status(), is(200));
    }
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("standIns")
  void a_refusing_service_accepts_connections_after_the_time_or_a_reset(Case standIn) {
    try (StandInFixture fixture = StandInFixture.start(standIn.standIn.get())) {
      fixture.setFaults("{\"refuse_connections_ms\":3600000}");
      StandInFixture.await(fixture::refusesConnections);
      fixture.admin("DELETE", "/faults", "");
      StandInFixture.await(() -> !fixture.refusesConnections());

      // Long enough that a pause of the test process cannot hide the whole refusal period.
      fixture.setFaults("{\"refuse_connections_ms\":4000}");
      StandInFixture.await(fixture::refusesConnections);
      StandInFixture.await(() -> !fixture.refusesConnections());

      assertThat(fixture.get(standIn.path).status(), is(200));
    }
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {"{\"no_such_fault\":1}", "{\"lag_ms\":\"x\"}", "{\"lag_ms\":null}", "[1]", "{"})
  void an_invalid_change_is_refused_and_changes_nothing(String changes) {
    StandIn<?> standIn = new VmListStandIn(ANY, VmListFaults.NONE, CLOCK);
    try (StandInFixture fixture = StandInFixture.start(standIn)) {
      fixture.setFaults("{\"outage\":true}");

      assertThat(fixture.send("POST", "/faults", changes).status(), is(400));

      assertThat(
          fixture.get("/faults").json(),
          is(
              StandInFixture.parse(
                  "{\"hang\":false,\"refuse_connections_ms\":0,\"outage\":true,\"lag_ms\":0}")));
    }
  }
}
