package org.cactusseam.logic.admission;

import java.util.HashMap;
import java.util.Map;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.RouteName;

/**
 * Learned output lengths of each client account and route. An account that is new on a route is
 * judged by the route, and a new route by a fixed guess.
 */
final class OutputLengths {

  private static final double GUESS_TOKENS = 256;
  private static final int ENOUGH = 12;

  private final Map<Key, LengthHistogram> byAccount = new HashMap<>();
  private final Map<RouteName, LengthHistogram> byRoute = new HashMap<>();

  private record Key(AccountName account, RouteName route) {}

  /** Both histograms of an attempt, kept in the attempt so that a decision needs no look-up. */
  record Source(LengthHistogram account, LengthHistogram route) {

    /**
     * Returns the expected output.
     *
     * @param seen tokens generated so far
     * @param maximum bound stated by the caller; 0 if none
     * @return expected total in tokens, more than {@code seen}
     */
    double expectedTotal(long seen, int maximum) {
      double expected = unbounded(seen);
      double bounded = maximum > 0 ? Math.min(expected, maximum) : expected;
      return Math.max(bounded, seen + 1.0);
    }

    private double unbounded(long seen) {
      if (account.recorded() >= ENOUGH) {
        return account.expectedTotal(seen);
      }
      if (route.recorded() >= ENOUGH) {
        return route.expectedTotal(seen);
      }
      return Math.max(GUESS_TOKENS, seen * 1.5);
    }

    /** Adds the length of a finished generation. */
    void add(long tokens) {
      account.add(tokens);
      route.add(tokens);
    }
  }

  /** Returns the histograms of an account on a route. */
  Source of(AccountName account, RouteName route) {
    return new Source(
        byAccount.computeIfAbsent(new Key(account, route), key -> new LengthHistogram()),
        byRoute.computeIfAbsent(route, key -> new LengthHistogram()));
  }
}
