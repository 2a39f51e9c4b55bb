package org.cactusseam.logic.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.admission.AdmissionDecision;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against exceeding the limits of cold or warm servers, and against permits for servers out
 * of service, under random orders of events. The expected counts are derived from the events and
 * the permits alone, not from the state of the shard.
 */
class AdmissionSafetyTest {

  private static final int COLD_LIMIT = 2;
  private static final int WARM_LIMIT = 6;
  private static final String[] ACCOUNTS = {"premium", "standard", "batch", "other"};

  @Provide
  Arbitrary<List<Integer>> events() {
    return Arbitraries.integers().between(0, 9_999).list().ofMinSize(10).ofMaxSize(80);
  }

  @Property(tries = 10_000, seed = "20260211", shrinking = ShrinkingMode.BOUNDED)
  void every_order_of_events_keeps_the_safety_rules(@ForAll("events") List<Integer> events) {
    Scenario scenario = new Scenario(AdmissionSettings.zopfwerk());
    events.forEach(scenario::applyEvent);
  }

  /**
   * Checks that the events of the property test reach the limits: without the feature that enforces
   * them, the same checks fail.
   */
  @ParameterizedTest
  @EnumSource(names = {"CONFIRMATION_WINDOW", "COLD_LIMIT"})
  void the_safety_rules_are_violated_without_their_feature(AdmissionFeature feature) {
    AdmissionSettings settings = AdmissionSettings.zopfwerk().without(feature);
    SplittableRandom random = new SplittableRandom(1);

    assertThrows(
        AssertionError.class,
        () -> {
          for (int trial = 0; trial < 1_000; trial++) {
            Scenario scenario = new Scenario(settings);
            random.ints(80, 0, 10_000).forEach(scenario::applyEvent);
          }
        });
  }

  /** Applies events to a shard and checks each new permit. */
  static final class Scenario {
    final ShardFixture fixture;
    final List<PermitRequest> requests = new ArrayList<>();
    final Map<PermitRequestId, Permit> permits = new HashMap<>();
    final List<Permit> open = new ArrayList<>();
    final List<Permit> unconfirmed = new ArrayList<>();
    final Map<BackendServerName, Boolean> cold = new HashMap<>();
    final Map<BackendServerName, Integer> run = new HashMap<>();

    Scenario(AdmissionSettings settings) {
      fixture = new ShardFixture(settings);
      fixture.server("zopf-1", COLD_LIMIT, WARM_LIMIT, 4_000);
      fixture.server("zopf-2", COLD_LIMIT, WARM_LIMIT, 4_000).configured();
      fixture.servers.forEach(server -> cold.put(server.name(), true));
      fixture.servers.forEach(server -> run.put(server.name(), 1));
    }

    void applyEvent(int event) {
      int choice = event % 13;
      int argument = event / 13;
      BackendServerName server = fixture.name(argument % 2);
      switch (choice) {
        case 0, 1, 2, 3 -> sendRequest(argument);
        case 4 -> applyToOne(unconfirmed, argument, this::confirm);
        case 5 -> applyToOne(open, argument, permit -> end(permit, AttemptEnd.COMPLETED));
        case 6 -> applyToOne(open, argument, permit -> end(permit, AttemptEnd.BROKEN));
        case 7 -> report(server, false);
        case 8 -> report(server, argument % 4 == 0);
        case 9 -> restart(server);
        case 10 -> toggleServiceState(argument);
        case 11 -> repeatRequest(argument);
        default -> advanceTime(argument % 700);
      }
      check();
    }

    private void sendRequest(int argument) {
      PermitRequest request = fixture.request(ACCOUNTS[argument % ACCOUNTS.length]);
      requests.add(request);
      fixture.shard.request(request);
    }

    private <T> void applyToOne(List<T> list, int argument, Consumer<T> action) {
      if (!list.isEmpty()) {
        action.accept(list.get(argument % list.size()));
      }
    }

    private void confirm(Permit permit) {
      unconfirmed.remove(permit);
      cold.put(permit.server(), false);
      fixture.shard.recordConfirmation(permit.id(), condition(permit.server(), false));
    }

    private void end(Permit permit, AttemptEnd how) {
      open.remove(permit);
      unconfirmed.remove(permit);
      if (how == AttemptEnd.BROKEN) {
        cold.put(permit.server(), true);
      }
      fixture.shard.recordEnd(permit.id(), how, 20);
    }

    private void report(BackendServerName server, boolean isCold) {
      cold.put(server, isCold);
      int running = (int) open.stream().filter(each -> each.server().equals(server)).count();
      fixture.shard.recordLoadReport(
          server, ShardFixture.report(condition(server, isCold), running));
    }

    private void restart(BackendServerName server) {
      run.merge(server, 1, Integer::sum);
      cold.put(server, true);
      fixture.shard.recordLoadReport(server, ShardFixture.report(condition(server, false), 0));
    }

    private void toggleServiceState(int argument) {
      if (argument % 3 == 0) {
        fixture.domainState =
            fixture.domainState == ServiceState.IN ? ServiceState.OUT : ServiceState.IN;
        if (fixture.domainState == ServiceState.IN) {
          cold.replaceAll((name, value) -> true);
        }
      } else {
        int index = argument % 2;
        boolean in = fixture.servers.get(index).state() == ServiceState.IN;
        fixture.servers.set(
            index, fixture.servers.get(index).withState(in ? ServiceState.OUT : ServiceState.IN));
        cold.put(fixture.name(index), true);
      }
      fixture.configured();
    }

    private void repeatRequest(int argument) {
      applyToOne(requests, argument, fixture.shard::request);
    }

    private void advanceTime(long millis) {
      fixture.clock.advance(millis);
      fixture.shard.tick();
    }

    private BackendCondition condition(BackendServerName server, boolean isCold) {
      return new BackendCondition("run-" + run.get(server), isCold);
    }

    private void check() {
      for (AdmissionDecision decision : fixture.shard.drain()) {
        if (decision instanceof AdmissionDecision.Granted granted) {
          check(granted.permit());
        }
      }
    }

    private void check(Permit permit) {
      Permit known = open.contains(permit) ? permits.get(permit.id()) : null;
      if (known != null) {
        assertThat("a repeated request gets the same permit", permit, is(known));
        if (unconfirmed.contains(permit)) {
          assertInService(permit);
        }
        return;
      }
      permits.put(permit.id(), permit);
      open.add(permit);
      unconfirmed.add(permit);
      assertInService(permit);
      BackendServerName server = permit.server();
      assertThat("unconfirmed", count(unconfirmed, server), is(lessThanOrEqualTo(COLD_LIMIT)));
      int limit = cold.get(server) ? COLD_LIMIT : WARM_LIMIT;
      assertThat("open", count(open, server), is(lessThanOrEqualTo(limit)));
    }

    private void assertInService(Permit permit) {
      boolean serverIn =
          fixture.servers.stream()
              .anyMatch(
                  server ->
                      server.name().equals(permit.server()) && server.state() == ServiceState.IN);
      assertThat("in service", serverIn && fixture.domainState == ServiceState.IN, is(true));
    }

    private static int count(List<Permit> list, BackendServerName server) {
      return (int) list.stream().filter(permit -> permit.server().equals(server)).count();
    }
  }
}
