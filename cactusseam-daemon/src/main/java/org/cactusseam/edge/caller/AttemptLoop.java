package org.cactusseam.edge.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cactusseam.edge.control.PermitAnswer;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.admission.AttemptEnd;
import org.cactusseam.model.admission.Permit;
import org.cactusseam.model.admission.PermitRequest;
import org.cactusseam.model.admission.PermitRequestId;
import org.jspecify.annotations.Nullable;

/**
 * Requests permits for one caller's request, trying the shards of its pool in order, and decides
 * after a failure whether the request is attempted again. Model requests and plain requests share
 * this loop and differ in how they send an attempt.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class AttemptLoop {

  /** Sends the attempts of one kind of request and delivers refusals to its caller. */
  interface Sender {

    /**
     * Sends an attempt to its backend server.
     *
     * @param attempt permitted attempt
     */
    void send(Attempt attempt);

    /**
     * Ends the request with an error.
     *
     * @param refusal result code and detail for the caller
     */
    void refuse(Refusal refusal);
  }

  /**
   * Attempt that a shard owner has permitted.
   *
   * @param permit permit from the owner
   * @param server backend server that the permit names
   * @param validUntil time at which the permit expires; the attempt must not be sent from then on
   */
  record Attempt(Permit permit, BackendServer server, Instant validUntil) {}

  /**
   * Upper bound on the attempts of one request. A request that fails on this many servers in a row
   * fails for reasons that a retry does not cure.
   */
  private static final int MAXIMUM_ATTEMPTS = 4;

  private final CallerServices services;
  private final RequestInfo info;
  private final PromptProfile promptProfile;
  private final int maximumTokens;
  private final Sender sender;
  private final List<ShardId> shards;
  private final List<BackendServerName> excludedServers = new ArrayList<>();
  private int shardIndex;
  private int attempts;
  private @Nullable PermitRequestId pendingRequest;
  private boolean stopped;
  private boolean mayHaveRun;
  private boolean isTakeoverExpected;

  AttemptLoop(
      CallerServices services,
      RequestInfo info,
      PromptProfile promptProfile,
      int maximumTokens,
      Sender sender) {
    this.services = services;
    this.info = info;
    this.promptProfile = promptProfile;
    this.maximumTokens = maximumTokens;
    this.sender = sender;
    long affinity =
        promptProfile.prefixHashes().isEmpty() ? 0 : promptProfile.prefixHashes().get(0);
    this.shards =
        ShardOrder.order(
            services.view().get().shards().shardsOf(info.route().pool()),
            services.settings().region(),
            affinity,
            shard -> services.loads().expectedWaitMillis(shard, priorityRank()));
  }

  private int priorityRank() {
    return services.view().get().rankOf(info.account().priorityClass());
  }

  /** Requests the first permit, or refuses the request if its pool has no backend server. */
  void start() {
    if (shards.isEmpty()) {
      sender.refuse(
          new Refusal(
              ResultCode.NO_BACKEND_SERVER,
              "no backend server in pool " + info.route().pool(),
              Duration.ofSeconds(5)));
      return;
    }
    requestPermit();
  }

  private void requestPermit() {
    if (stopped) {
      return;
    }
    Duration timeToDeadline = Duration.between(services.clock().instant(), info.deadline());
    if (timeToDeadline.isNegative() || timeToDeadline.isZero()) {
      refuse(
          new Refusal(
              ResultCode.DEADLINE_PASSED,
              "the deadline of the request has passed",
              Duration.ofSeconds(1)));
      return;
    }
    PermitRequestId id = services.ids().nextAttempt();
    pendingRequest = id;
    PermitRequest request =
        new PermitRequest(
            id,
            shards.get(shardIndex),
            info.id(),
            info.account().name(),
            info.account().priorityClass(),
            info.route().name(),
            promptProfile.tokens(),
            promptProfile.prefixHashes(),
            maximumTokens,
            timeToDeadline.toMillis(),
            excludedServers,
            info.fingerprint());
    services.loads().recordSent(shards.get(shardIndex));
    services.admission().requestPermit(request, this::handleAnswer);
  }

  private void handleAnswer(PermitAnswer answer) {
    pendingRequest = null;
    switch (answer) {
      case PermitAnswer.Granted granted -> handleGrant(granted);
      case PermitAnswer.Denied denied -> handleDenial(denied.refusal());
      case PermitAnswer.WithoutOwner withoutOwner -> {
        isTakeoverExpected = true;
        handleDenial(withoutOwner.refusal());
      }
    }
  }

  private void handleGrant(PermitAnswer.Granted granted) {
    Permit permit = granted.permit();
    Optional<BackendServer> server = services.view().get().configuration().server(permit.server());
    if (stopped || server.isEmpty() || !services.clock().instant().isBefore(granted.validUntil())) {
      reportEnd(permit, AttemptEnd.NOT_SENT, 0);
      requestPermit();
      return;
    }
    attempts++;
    sender.send(new Attempt(permit, server.get(), granted.validUntil()));
  }

  private void handleDenial(Refusal refusal) {
    if (stopped) {
      return;
    }
    boolean isFinal =
        refusal.code() == ResultCode.DEADLINE_PASSED || refusal.code() == ResultCode.NOT_READY;
    boolean isLastShard = shardIndex + 1 >= shards.size();
    if (isFinal || (isLastShard && !isTakeoverExpected)) {
      refuse(refusal);
      return;
    }
    if (isLastShard) {
      // A shard without an owner gets a new one soon, so all shards are tried once more. The router
      // limits the rate of the permit requests.
      isTakeoverExpected = false;
      shardIndex = 0;
    } else {
      shardIndex++;
    }
    requestPermit();
  }

  /**
   * Handles a failed attempt: attempts the request again, or ends it if it must not run again or
   * has used up its attempts.
   *
   * @param failed attempt that failed
   * @param ran whether the backend server may have run the failed attempt
   * @param refusal error for the caller if the request ends
   */
  void handleFailure(Attempt failed, boolean ran, Refusal refusal) {
    whenReleased(failed.permit(), () -> retryOrRefuse(failed, ran, refusal));
  }

  /**
   * Delays the handling of a failure until the shard owners know of a crash that the request may
   * have caused. Otherwise an owner without that information could run the request again at once.
   *
   * @param permit permit of the attempt that failed
   * @param then handles the failure; called when the owners are informed
   */
  void whenReleased(Permit permit, Runnable then) {
    services.admission().whenReleased(permit.id(), then);
  }

  private void retryOrRefuse(Attempt failed, boolean ran, Refusal refusal) {
    mayHaveRun |= ran;
    excludedServers.add(failed.server().name());
    boolean isRetryAllowed = !ran || info.route().repeatable();
    if (stopped || !isRetryAllowed || attempts >= MAXIMUM_ATTEMPTS) {
      refuse(refusal);
      return;
    }
    requestPermit();
  }

  /**
   * Refuses the request. If an earlier attempt may have run, a result code that promises that the
   * request did not run is replaced by {@code BACKEND_FAILED}.
   */
  private void refuse(Refusal refusal) {
    stopped = true;
    boolean isContradiction =
        mayHaveRun && refusal.code().execution() == ResultCode.Execution.NOT_RUN;
    sender.refuse(
        isContradiction
            ? new Refusal(ResultCode.BACKEND_FAILED, refusal.detail(), refusal.retryAfter())
            : refusal);
  }

  /**
   * Reports the end of an attempt to the owner of its shard, which then frees the reserved
   * capacity.
   *
   * @param permit permit of the attempt
   * @param end how the attempt ended
   * @param tokens number of tokens delivered to the caller
   */
  void reportEnd(Permit permit, AttemptEnd end, long tokens) {
    services.admission().reportEnd(permit.shard(), permit.id(), end, tokens);
  }

  /** Stops the loop and withdraws a pending permit request, because the caller has disconnected. */
  void stop() {
    stopped = true;
    PermitRequestId id = pendingRequest;
    if (id != null) {
      services.admission().withdraw(id);
    }
  }
}
