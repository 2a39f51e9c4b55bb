package org.cactusseam.logic.admission;

import java.util.HashMap;
import java.util.Map;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.RouteName;

/**
 * Output lengths observed for each client account and route. An account with few samples on a route
 * is estimated from all accounts of the route, and a route with few samples from a fixed default.
 */
final class OutputLengths {

  private static final double DEFAULT_TOKENS = 256;
  private static final int MINIMUM_SAMPLES = 12;

  private final Map<Key, LengthHistogram> byAccount = new HashMap<>();
  private final Map<RouteName, LengthHistogram> byRoute = new HashMap<>();

  private record Key(AccountName account, RouteName route) {}

  /**
   * Histograms that apply to an attempt. The attempt holds them, so that a decision needs no
   * lookup.
   */
  record Histograms(LengthHistogram account, LengthHistogram route) {

    /**
     * Returns the expected total output.
     *
     * @param generated tokens generated so far
     * @param maximum limit set by the caller, in tokens; 0 if none
     * @return expected total in tokens, at least one more than {@code generated}
     */
    double expectedTotal(long generated, int maximum) {
      double expected = unbounded(generated);
      double bounded = maximum > 0 ? Math.min(expected, maximum) : expected;
      return Math.max(bounded, generated + 1.0);
    }

    private double unbounded(long generated) {
      if (account.recorded() >= MINIMUM_SAMPLES) {
        return account.expectedTotal(generated);
      }
      if (route.recorded() >= MINIMUM_SAMPLES) {
        return route.expectedTotal(generated);
      }
      return Math.max(DEFAULT_TOKENS, generated * 1.5);
    }

    /** Adds the length of a finished generation. */
    void add(long tokens) {
      account.add(tokens);
      route.add(tokens);
    }
  }

  /** Returns the histograms of an account on a route and creates them on first use. */
  Histograms of(AccountName account, RouteName route) {
    return new Histograms(
        byAccount.computeIfAbsent(new Key(account, route), key -> new LengthHistogram()),
        byRoute.computeIfAbsent(route, key -> new LengthHistogram()));
  }
}
