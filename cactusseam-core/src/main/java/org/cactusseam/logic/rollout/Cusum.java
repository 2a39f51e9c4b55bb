package org.cactusseam.logic.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Cumulative sum of log likelihood ratios that never falls below zero, so that it also detects a
 * fault that starts late. A second sum for each server leaves out the results of that server.
 */
final class Cusum {

  private final Map<String, Double> without = new HashMap<>();
  private double total;

  /** Adds results of one server. */
  void add(String server, double logLikelihoodRatio) {
    without.putIfAbsent(server, total);
    total = Math.max(0, total + logLikelihoodRatio);
    without.replaceAll(
        (each, sum) -> each.equals(server) ? sum : Math.max(0, sum + logLikelihoodRatio));
  }

  double total() {
    return total;
  }

  /** Returns the sum without the server that contributes most. */
  double withoutWorstServer() {
    return without.values().stream().mapToDouble(Double::doubleValue).min().orElse(0);
  }
}
