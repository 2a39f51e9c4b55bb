package org.cactusseam.logic.rollout;

import java.time.Duration;
import java.time.Instant;
import org.cactusseam.logic.gateway.LeavingServers;
import org.cactusseam.logic.gateway.ProcessPauses;
import org.cactusseam.model.gateway.ServerInstance;

/** Decides which responses and times of one VM are evidence about a version. */
public final class EvidenceRules {

  private final LeavingServers leavingServers;
  private final ProcessPauses pauses;

  /** Creates rules that follow the current departures and pauses. */
  public EvidenceRules(LeavingServers leavingServers, ProcessPauses pauses) {
    this.leavingServers = leavingServers;
    this.pauses = pauses;
  }

  /**
   * Returns whether the responses of a server are evidence. A server that is leaving breaks off its
   * requests whatever its version is. One that counts as leaving only because a roll-out replaces
   * it does not: without its responses, load that slows down both versions while runs are moved
   * would be attributed to the new one.
   *
   * @return whether the server is not leaving, or only because of a roll-out
   */
  public boolean isEvidence(ServerInstance server) {
    return !leavingServers.isLeaving(server.id()) || leavingServers.isOnlyReplaced(server.id());
  }

  /**
   * Counts a measured time, unless this process was paused during it: the time then includes the
   * pause and shows nothing about the server.
   *
   * @param from start of the measured time
   * @param now end of the measured time
   */
  public void recordTime(RolloutEvidence evidence, EvidenceKey key, Instant from, Instant now) {
    if (!pauses.isAffected(from, now)) {
      evidence.recordTime(key, Duration.between(from, now));
    }
  }
}
