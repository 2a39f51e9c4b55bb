package org.cactusseam.standin.vmlist;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.stream.Stream;
import org.cactusseam.standin.Endpoint;
import org.cactusseam.standin.FaultCase;
import org.cactusseam.standin.ManualClock;
import org.cactusseam.standin.StandInFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that the simulated list of VMs follows the protocol of the platform and that each of its
 * faults has an effect.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class VmListContractTest {

  private static final String ENTRY =
      "{\"name\":\"vm1\",\"host\":\"127.0.0.1\",\"peer_port\":7001,"
          + "\"failure_domain\":\"ost-wien\",\"region\":\"ost\",\"state\":\"live\"}";

  private final ManualClock clock = new ManualClock();

  private StandInFixture start() {
    return StandInFixture.start(
        new VmListStandIn(Endpoint.anyLoopback(), VmListFaults.NONE, clock));
  }

  private static String list(String... entries) {
    return "{\"vms\":[" + String.join(",", entries) + "]}";
  }

  @Test
  void the_list_is_shown_as_it_was_set() {
    String leaving = ENTRY.replace("live", "leaving").replace("vm1", "vm2");
    try (StandInFixture fixture = start()) {
      assertThat(fixture.get("/vms").json(), is(StandInFixture.parse(list())));
      fixture.send("PUT", "/vms", list(ENTRY, leaving));
      assertThat(fixture.get("/vms").json(), is(StandInFixture.parse(list(ENTRY, leaving))));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"live|dead", "peer_port|port", "7001|\"x\"", "\"region\":\"ost\",|''"})
  void an_entry_that_does_not_follow_the_protocol_is_refused(String part, String replacement) {
    try (StandInFixture fixture = start()) {
      String entry = ENTRY.replace(part, replacement);
      assertThat(fixture.send("PUT", "/vms", list(entry)).status(), is(400));
      assertThat(fixture.get("/vms").json(), is(StandInFixture.parse(list())));
    }
  }

  private static int entries(StandInFixture fixture) {
    return fixture.get("/vms").json().get("vms").size();
  }

  Stream<FaultCase> faults() {
    return Stream.of(
        new FaultCase(
            "lagMs",
            fixture -> {
              fixture.setFaults("{\"lag_ms\":100}");
              fixture.send("PUT", "/vms", list(ENTRY));
              assertThat(entries(fixture), is(0));
              clock.advance(99);
              assertThat(entries(fixture), is(0));
              clock.advance(1);
              assertThat(entries(fixture), is(1));
            }),
        new FaultCase(
            "outage",
            fixture -> {
              fixture.setFaults("{\"outage\":true}");
              assertThat(fixture.get("/vms").status(), is(503));
              fixture.send("DELETE", "/faults", "");
              assertThat(fixture.get("/vms").status(), is(200));
            }));
  }

  @Test
  void each_fault_is_covered() {
    FaultCase.assertEachFaultIsCovered(VmListFaults.class, faults());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void a_fault_has_its_effect(FaultCase fault) {
    try (StandInFixture fixture = start()) {
      fault.check().accept(fixture);
    }
  }
}
