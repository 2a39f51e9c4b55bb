package org.cactusseam.logic.admission;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.admission.BackendCondition;
import org.cactusseam.model.admission.PermitRequestId;
import org.jspecify.annotations.Nullable;

/** What the owner of a shard knows of one backend server. */
final class ServerState {

  @Nullable BackendServer description;
  @Nullable String incarnation;
  boolean cold = true;
  int open;
  final Set<PermitRequestId> unconfirmed = new HashSet<>();

  BackendServer describe() {
    return Objects.requireNonNull(description);
  }

  void observe(BackendCondition condition) {
    incarnation = condition.incarnation();
    cold = condition.cold();
  }

  /** Tells whether one more attempt keeps both the limit and the confirmation window. */
  boolean hasRoom() {
    int limit = cold ? describe().coldLimit() : describe().warmLimit();
    return open < limit && unconfirmed.size() < describe().coldLimit();
  }
}
