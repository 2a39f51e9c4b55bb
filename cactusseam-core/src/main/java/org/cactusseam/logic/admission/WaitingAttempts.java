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
 * Queues of waiting attempts by rank and account. Within a rank the account with the fewest charged
 * tokens is served first, and within an account the oldest attempt.
 */
final class WaitingAttempts {

  /** Number of ranks of priority classes; rank 0 is served first. */
  static final int RANKS = 10;

  private final boolean fair;
  private final List<Map<AccountName, AccountQueue>> queues = new ArrayList<>();
  private final List<List<AccountQueue>> activeQueues = new ArrayList<>();
  private final int[] sizes = new int[RANKS];
  private final double[] virtualTokenLevels = new double[RANKS];
  private int size;
  private long pass;

  /** Queue of the attempts of one account and rank, the oldest first. */
  private static final class AccountQueue {
    final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    final AccountLedger ledger;
    long skippedInPass = -1;
    int waiting;

    AccountQueue(AccountLedger ledger) {
      this.ledger = ledger;
    }
  }

  /**
   * Creates empty queues.
   *
   * @param fair whether the accounts of a rank are served in the order of their charged tokens;
   *     otherwise the oldest attempt of the rank is served first
   */
  WaitingAttempts(boolean fair) {
    this.fair = fair;
    for (int rank = 0; rank < RANKS; rank++) {
      queues.add(new HashMap<>());
      activeQueues.add(new ArrayList<>());
    }
  }

  int size() {
    return size;
  }

  int size(int rank) {
    return sizes[rank];
  }

  /** Returns the number of attempts of an account that wait in a rank. */
  int waiting(int rank, AccountName account) {
    AccountQueue queue = queues.get(rank).get(account);
    return queue == null ? 0 : queue.waiting;
  }

  /**
   * Returns the number of attempts that are expected to be served before a new attempt of an
   * account. With fair queueing, each account of the rank is assumed to be served as often as this
   * one.
   */
  int countAhead(int rank, AccountName account) {
    int before = 0;
    for (int higher = 0; higher < rank; higher++) {
      before += sizes[higher];
    }
    if (!fair) {
      return before + sizes[rank];
    }
    int turns = (waiting(rank, account) + 1) * Math.max(1, activeQueues.get(rank).size());
    return before + Math.min(sizes[rank], turns);
  }

  /** Appends an attempt to the queue of its account. */
  void add(Attempt attempt) {
    AccountQueue queue =
        queues
            .get(attempt.rank)
            .computeIfAbsent(attempt.request.account(), name -> new AccountQueue(attempt.ledger));
    if (queue.waiting == 0) {
      queue.attempts.clear();
      activeQueues.get(attempt.rank).add(queue);
      queue.ledger.resumeAt(virtualTokenLevels[attempt.rank]);
    }
    queue.attempts.add(attempt);
    queue.waiting++;
    sizes[attempt.rank]++;
    size++;
  }

  /** Removes a waiting attempt. */
  void remove(Attempt attempt) {
    AccountQueue queue = queues.get(attempt.rank).get(attempt.request.account());
    if (queue == null || !attempt.waiting) {
      return;
    }
    attempt.waiting = false;
    queue.waiting--;
    sizes[attempt.rank]--;
    size--;
    if (queue.waiting == 0) {
      queue.attempts.clear();
      activeQueues.get(attempt.rank).remove(queue);
    }
  }

  /**
   * Starts an admission pass. Accounts and attempts that were skipped in earlier passes are
   * considered again.
   */
  void startPass() {
    pass++;
  }

  /**
   * Returns the attempt to serve next in a rank.
   *
   * @param rank rank of the priority class
   * @param requestedSince time in milliseconds; attempts whose request was not repeated since then
   *     are skipped, because a permit would reach their requester too late
   * @return the attempt, or empty if all attempts of the rank are skipped
   */
  Optional<Attempt> next(int rank, long requestedSince) {
    @Nullable Attempt best = null;
    double bestKey = Double.POSITIVE_INFINITY;
    for (AccountQueue queue : activeQueues.get(rank)) {
      if (queue.skippedInPass == pass) {
        continue;
      }
      Attempt head = head(queue, requestedSince);
      if (head == null) {
        continue;
      }
      double key = fair ? queue.ledger.virtualTokens() : head.sequence;
      if (key < bestKey) {
        best = head;
        bestKey = key;
      }
    }
    if (best != null && fair) {
      virtualTokenLevels[rank] = Math.max(virtualTokenLevels[rank], bestKey);
    }
    return Optional.ofNullable(best);
  }

  /** Skips the account of an attempt in the current pass. */
  void skipAccount(Attempt attempt) {
    AccountQueue queue = queues.get(attempt.rank).get(attempt.request.account());
    if (queue != null) {
      queue.skippedInPass = pass;
    }
  }

  /** Skips one attempt in the current pass; other attempts of its account are still considered. */
  void skip(Attempt attempt) {
    attempt.skippedInPass = pass;
  }

  /** Returns all waiting attempts that satisfy a condition. */
  List<Attempt> select(Predicate<Attempt> condition) {
    List<Attempt> result = new ArrayList<>();
    for (List<AccountQueue> rankQueues : activeQueues) {
      for (AccountQueue queue : rankQueues) {
        for (Attempt attempt : queue.attempts) {
          if (attempt.waiting && condition.test(attempt)) {
            result.add(attempt);
          }
        }
      }
    }
    return result;
  }

  private @Nullable Attempt head(AccountQueue queue, long requestedSince) {
    while (!queue.attempts.isEmpty() && !queue.attempts.getFirst().waiting) {
      queue.attempts.removeFirst();
    }
    Iterator<Attempt> iterator = queue.attempts.iterator();
    while (iterator.hasNext()) {
      Attempt attempt = iterator.next();
      if (!attempt.waiting) {
        iterator.remove();
      } else if (attempt.lastRequestedAt >= requestedSince && attempt.skippedInPass != pass) {
        return attempt;
      }
    }
    return null;
  }
}
