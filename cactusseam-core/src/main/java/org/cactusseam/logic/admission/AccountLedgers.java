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

/** The ledgers of all client accounts that a shard has seen, and which of them bought a share. */
final class AccountLedgers {

  private static final int LOWEST_RANK = WaitingAttempts.RANKS - 1;

  private final Map<AccountName, AccountLedger> ledgers = new HashMap<>();
  private final List<AccountLedger> purchased = new ArrayList<>();

  /** Returns the ledger of an account; it is created on first use. */
  AccountLedger of(AccountName account) {
    return ledgers.computeIfAbsent(account, name -> new AccountLedger());
  }

  /** Returns the ledgers of accounts that bought a share. */
  List<AccountLedger> purchased() {
    return purchased;
  }

  /** Takes classes and shares from a configuration. */
  void configure(Configuration configuration) {
    List<ClientAccount> accounts = configuration.all(ClientAccount.class);
    long total = accounts.stream().mapToLong(ClientAccount::share).sum();
    purchased.clear();
    for (ClientAccount account : accounts) {
      AccountLedger ledger = of(account.name());
      Optional<PriorityClass> found = configuration.priorityClass(account.priorityClass());
      int rank = found.map(PriorityClass::rank).orElse(LOWEST_RANK);
      ledger.purchase(rank, account.share(), total);
      if (account.share() > 0) {
        purchased.add(ledger);
      }
    }
  }
}
