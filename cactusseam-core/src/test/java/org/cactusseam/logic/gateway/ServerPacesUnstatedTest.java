package org.cactusseam.logic.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.cactusseam.model.gateway.ServerPace;
import org.junit.jupiter.api.Test;

/**
 * Guards against other choices of servers in deployments whose servers state no pace: the recorded
 * choices are those of the selector before it used the pace of servers.
 */
class ServerPacesUnstatedTest {

  private static final String RECORDED =
      "adgbADehGaBBGAdFBgbeDhHadgbABeFAGDEaEHCGFdgDeaBdDEGgFhhAECEehGaaAFdgehadghHBCHAe"
          + "aFdHeCHFdBaHdAeDBaAdgDgggeeDFaCEHaBFdCgeaBBdDgBFFBeGdDGDgBeGAadHeaFdeadGFaCeHHFd"
          + "adeDaeDGaeEddadEgEhhEhGEAGhFCAChhhgehFdegedhgHCAdFFdeedAAAgAgAFEBgDDggaaHgegeddg"
          + "eBgdghBBBeDdeFdhedeheBGdDBaeDGadFaaGDaCaedHHadaFBGCaDeaaDeGaFdEdEhEhEEAHGhhdaGGh"
          + "AhDAFhAhCHHhhFdhdhdhdAddAahdAaAAaaDBDCeAeFBBBgggAggBHEggDDgADBeeBGeBeeDGgGeDgGAE";

  @Test
  void choices_without_a_stated_pace_are_as_recorded() {
    assertThat(new ServerChoiceReplay().choices(), is(RECORDED));
  }

  /** Guards against measured durations that change choices where no server states a pace. */
  @Test
  void choices_are_as_recorded_when_durations_are_measured() {
    ServerChoiceReplay replay = new ServerChoiceReplay();
    for (int request = 0; request < 100; request++) {
      record(replay, "a", 500);
      record(replay, "b", 100);
    }
    assertThat(replay.paces.isContradicted("a", ""), is(true));
    assertThat(replay.choices(), is(RECORDED));
  }

  private static void record(ServerChoiceReplay replay, String server, int millis) {
    replay.paces.recordDuration(
        server,
        new ServerPaces.Work("", true),
        Duration.ofMillis(millis),
        Optional.empty(),
        replay.clock.instant());
  }

  /** Guards against a pace of one service that changes the choices of another one. */
  @Test
  void choices_of_a_service_are_as_recorded_when_servers_of_another_one_state_a_pace() {
    ServerChoiceReplay replay = new ServerChoiceReplay();
    replay.paces.recordStatement("other", new ServerPace(250), replay.clock.instant());

    assertThat(replay.choices(), is(RECORDED));
  }
}
