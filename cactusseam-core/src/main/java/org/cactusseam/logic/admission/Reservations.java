package org.cactusseam.logic.admission;

import java.util.Arrays;
import java.util.Collection;
import java.util.List;

/**
 * Reserves capacity of a shard for purchased shares that are not in use. Attempts that are expected
 * to end soon may borrow a fraction of it.
 */
final class Reservations {

  private final AdmissionSettings settings;
  private final double[] unusedByRank = new double[WaitingAttempts.RANKS];
  private double slots;
  private double memory;
  private double freeSlots;
  private double freeMemory;

  Reservations(AdmissionSettings settings) {
    this.settings = settings;
  }

  /**
   * Computes the free capacity and the unused purchased shares. Only servers in service count.
   *
   * @param servers all servers of the shard
   * @param purchased ledgers of the accounts with a purchased share
   */
  void refresh(Collection<ServerState> servers, List<AccountLedger> purchased) {
    slots = 0;
    memory = 0;
    freeSlots = 0;
    freeMemory = 0;
    for (ServerState server : servers) {
      if (server.inService()) {
        int limit = server.limit();
        slots += limit;
        freeSlots += Math.max(0, limit - server.open());
        memory += server.memoryLimit();
        freeMemory += Math.max(0, server.memoryLimit() - server.peak());
      }
    }
    Arrays.fill(unusedByRank, 0);
    for (AccountLedger ledger : purchased) {
      double unused = ledger.unusedShare(slots, memory);
      unusedByRank[ledger.rank] = Math.max(unusedByRank[ledger.rank], unused);
    }
  }

  /**
   * Returns whether an attempt leaves enough capacity for the unused shares of other accounts.
   * Reserved slots are rounded down, so that a shard with few slots, such as one in cold start,
   * still serves every class.
   *
   * @param attempt attempt to admit
   * @param needed expected memory of the attempt, in tokens
   * @param runMillis expected run time of the attempt, in milliseconds
   */
  boolean leavesEnoughCapacity(Attempt attempt, double needed, double runMillis) {
    attempt.withinShare = attempt.ledger.isBelowShare(slots, memory);
    double reserved = reservedFraction(attempt);
    if (attempt.mayWait && settings.uses(AdmissionFeature.WAITING_YIELDS)) {
      reserved += settings.waitingMargin();
    }
    if (reserved <= 0) {
      return true;
    }
    if (runMillis <= settings.borrowMillis()) {
      reserved *= 1 - settings.borrowPart();
    }
    boolean enoughSlots = freeSlots - 1 >= Math.floor(reserved * slots);
    boolean enoughMemory = memory == 0 || freeMemory - needed >= reserved * memory;
    return enoughSlots && enoughMemory;
  }

  private double reservedFraction(Attempt attempt) {
    double higher = 0;
    for (int rank = 0; rank < attempt.rank; rank++) {
      higher = Math.max(higher, unusedByRank[rank]);
    }
    double sameClass = unusedByRank[attempt.rank];
    return Math.max(higher * settings.reservedPart(), sameClass * settings.sameClassReservedPart());
  }
}
