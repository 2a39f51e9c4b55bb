package org.cactusseam.logic.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.PriorityClass;

/**
 * Ledgers of all client accounts that a shard has seen, and the list of those with a purchased
 * share.
 */
final class AccountLedgers {

  private static final int LOWEST_RANK = WaitingAttempts.RANKS - 1;

  private final Map<AccountName, AccountLedger> ledgers = new HashMap<>();
  private final List<AccountLedger> purchased = new ArrayList<>();

  /** Returns the ledger of an account and creates it on first use. */
  AccountLedger of(AccountName account) {
    return ledgers.computeIfAbsent(account, name -> new AccountLedger());
  }

  /** Returns the ledgers of the accounts with a purchased share. */
  List<AccountLedger> purchased() {
    return purchased;
  }

  /**
   * Updates ranks and purchased shares from a configuration. Accounts without a known priority
   * class get the lowest rank.
   */
  void configure(Configuration configuration) {
    List<ClientAccount> accounts = configuration.all(ClientAccount.class);
    long total = accounts.stream().mapToLong(ClientAccount::share).sum();
    purchased.clear();
    for (ClientAccount account : accounts) {
      AccountLedger ledger = of(account.name());
      Optional<PriorityClass> found = configuration.priorityClass(account.priorityClass());
      int rank = found.map(PriorityClass::rank).orElse(LOWEST_RANK);
      ledger.setShare(rank, account.share(), total);
      if (account.share() > 0) {
        purchased.add(ledger);
      }
    }
  }
}
