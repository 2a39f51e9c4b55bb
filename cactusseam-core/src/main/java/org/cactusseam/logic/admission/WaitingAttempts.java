package org.cactusseam.logic.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cactusseam.model.AccountName;
import org.jspecify.annotations.Nullable;

/**
 * Waiting attempts by rank and account. Within a rank the account with the fewest charged tokens
 * comes first, and within an account the oldest attempt.
 */
final class WaitingAttempts {

  static final int RANKS = 10;

  private final boolean fair;
  private final List<Map<AccountName, Line>> lines = new ArrayList<>();
  private final List<List<Line>> active = new ArrayList<>();
  private final int[] sizes = new int[RANKS];
  private final double[] levels = new double[RANKS];
  private int size;
  private long pass;

  /** Attempts of one account and rank, oldest first. */
  private static final class Line {
    final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    final AccountLedger ledger;
    long blockedInPass = -1;
    int waiting;

    Line(AccountLedger ledger) {
      this.ledger = ledger;
    }
  }

  /**
   * Creates an empty room.
   *
   * @param fair whether accounts take turns by charged tokens; otherwise the oldest attempt of the
   *     rank comes first
   */
  WaitingAttempts(boolean fair) {
    this.fair = fair;
    for (int rank = 0; rank < RANKS; rank++) {
      lines.add(new HashMap<>());
      active.add(new ArrayList<>());
    }
  }

  int size() {
    return size;
  }

  int size(int rank) {
    return sizes[rank];
  }

  /** Returns how many attempts of the account wait in the rank. */
  int waiting(int rank, AccountName account) {
    Line line = lines.get(rank).get(account);
    return line == null ? 0 : line.waiting;
  }

  /** Returns how many attempts are expected to be served before the next one of an account. */
  int ahead(int rank, AccountName account) {
    int before = 0;
    for (int higher = 0; higher < rank; higher++) {
      before += sizes[higher];
    }
    if (!fair) {
      return before + sizes[rank];
    }
    int turns = (waiting(rank, account) + 1) * Math.max(1, active.get(rank).size());
    return before + Math.min(sizes[rank], turns);
  }

  void add(Attempt attempt) {
    Line line =
        lines
            .get(attempt.rank)
            .computeIfAbsent(attempt.request.account(), name -> new Line(attempt.ledger));
    if (line.waiting == 0) {
      line.attempts.clear();
      active.get(attempt.rank).add(line);
      line.ledger.resumeAt(levels[attempt.rank]);
    }
    line.attempts.add(attempt);
    line.waiting++;
    sizes[attempt.rank]++;
    size++;
  }

  /** Takes a waiting attempt out. */
  void remove(Attempt attempt) {
    Line line = lines.get(attempt.rank).get(attempt.request.account());
    if (line == null || !attempt.waiting) {
      return;
    }
    attempt.waiting = false;
    line.waiting--;
    sizes[attempt.rank]--;
    size--;
    if (line.waiting == 0) {
      line.attempts.clear();
      active.get(attempt.rank).remove(line);
    }
  }

  /** Starts a pass over the room; lines blocked in earlier passes are tried again. */
  void startPass() {
    pass++;
  }

  /**
   * Returns the attempt to serve next in a rank.
   *
   * @param rank rank
   * @param askedSince attempts that were not asked for since then are passed over
   * @return attempt, or empty if the rank has none that is not blocked
   */
  Optional<Attempt> next(int rank, long askedSince) {
    @Nullable Attempt best = null;
    double bestKey = Double.POSITIVE_INFINITY;
    for (Line line : active.get(rank)) {
      if (line.blockedInPass == pass) {
        continue;
      }
      Attempt head = head(line, askedSince);
      if (head == null) {
        continue;
      }
      double key = fair ? line.ledger.virtualTokens() : head.sequence;
      if (key < bestKey) {
        best = head;
        bestKey = key;
      }
    }
    if (best != null && fair) {
      levels[rank] = Math.max(levels[rank], bestKey);
    }
    return Optional.ofNullable(best);
  }

  /** Passes over the account of an attempt until the next pass. */
  void block(Attempt attempt) {
    Line line = lines.get(attempt.rank).get(attempt.request.account());
    if (line != null) {
      line.blockedInPass = pass;
    }
  }

  /** Passes over one attempt until the next pass; others of its account are still tried. */
  void passOver(Attempt attempt) {
    attempt.passedOverInPass = pass;
  }

  /** Returns the waiting attempts that satisfy a condition. */
  List<Attempt> select(Predicate<Attempt> condition) {
    List<Attempt> result = new ArrayList<>();
    for (List<Line> rank : active) {
      for (Line line : rank) {
        for (Attempt attempt : line.attempts) {
          if (attempt.waiting && condition.test(attempt)) {
            result.add(attempt);
          }
        }
      }
    }
    return result;
  }

  private @Nullable Attempt head(Line line, long askedSince) {
    while (!line.attempts.isEmpty() && !line.attempts.getFirst().waiting) {
      line.attempts.removeFirst();
    }
    Iterator<Attempt> iterator = line.attempts.iterator();
    while (iterator.hasNext()) {
      Attempt attempt = iterator.next();
      if (!attempt.waiting) {
        iterator.remove();
      } else if (attempt.askedAt >= askedSince && attempt.passedOverInPass != pass) {
        return attempt;
      }
    }
    return null;
  }
}
