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
 * Gets permits for one request and decides whether it is attempted again. The same for model
 * requests and plain requests; how an attempt is sent differs.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class AttemptLoop {

  /** How one kind of request uses its permits. */
  interface Sender {

    /**
     * Sends an attempt.
     *
     * @param attempt right to send it
     */
    void send(Attempt attempt);

    /**
     * Ends the request.
     *
     * @param refusal numbered reason
     */
    void refuse(Refusal refusal);
  }

  /**
   * Right to send one attempt.
   *
   * @param permit permit
   * @param server backend server
   * @param validUntil nothing may be sent after this
   */
  record Attempt(Permit permit, BackendServer server, Instant validUntil) {}

  /**
   * A request that fails on this many servers in a row fails for reasons that a retry does not
   * cure.
   */
  private static final int MAXIMUM_ATTEMPTS = 4;

  private final CallerServices services;
  private final RequestInfo info;
  private final PromptProfile prompt;
  private final int maximumTokens;
  private final Sender sender;
  private final List<ShardId> shards;
  private final List<BackendServerName> excluded = new ArrayList<>();
  private int shardIndex;
  private int attempts;
  private @Nullable PermitRequestId asked;
  private boolean stopped;
  private boolean mayHaveRun;
  private boolean takeoverExpected;

  AttemptLoop(
      CallerServices services,
      RequestInfo info,
      PromptProfile prompt,
      int maximumTokens,
      Sender sender) {
    this.services = services;
    this.info = info;
    this.prompt = prompt;
    this.maximumTokens = maximumTokens;
    this.sender = sender;
    long affinity = prompt.prefixHashes().isEmpty() ? 0 : prompt.prefixHashes().get(0);
    this.shards =
        ShardOrder.order(
            services.view().get().shards().shardsOf(info.route().pool()),
            services.settings().region(),
            affinity,
            shard -> services.loads().expectedWaitMillis(shard, rank()));
  }

  private int rank() {
    return services.view().get().rankOf(info.account().priorityClass());
  }

  /** Asks for the first permit. */
  void start() {
    if (shards.isEmpty()) {
      sender.refuse(
          new Refusal(
              ResultCode.NO_BACKEND_SERVER,
              "no backend server in pool " + info.route().pool(),
              Duration.ofSeconds(5)));
      return;
    }
    ask();
  }

  private void ask() {
    if (stopped) {
      return;
    }
    Duration patience = Duration.between(services.clock().instant(), info.deadline());
    if (patience.isNegative() || patience.isZero()) {
      refuse(new Refusal(ResultCode.DEADLINE_PASSED, "deadline passed", Duration.ofSeconds(1)));
      return;
    }
    PermitRequestId id = services.ids().nextAttempt();
    asked = id;
    PermitRequest request =
        new PermitRequest(
            id,
            shards.get(shardIndex),
            info.id(),
            info.account().name(),
            info.account().priorityClass(),
            info.route().name(),
            prompt.tokens(),
            prompt.prefixHashes(),
            maximumTokens,
            patience.toMillis(),
            excluded,
            info.fingerprint());
    services.loads().recordSent(shards.get(shardIndex));
    services.admission().requestPermit(request, this::answered);
  }

  private void answered(PermitAnswer answer) {
    asked = null;
    switch (answer) {
      case PermitAnswer.Granted granted -> granted(granted);
      case PermitAnswer.Denied denied -> denied(denied.refusal());
      case PermitAnswer.WithoutOwner without -> {
        takeoverExpected = true;
        denied(without.refusal());
      }
    }
  }

  private void granted(PermitAnswer.Granted granted) {
    Permit permit = granted.permit();
    Optional<BackendServer> server = services.view().get().configuration().server(permit.server());
    if (stopped || server.isEmpty() || !services.clock().instant().isBefore(granted.validUntil())) {
      end(permit, AttemptEnd.NOT_SENT, 0);
      ask();
      return;
    }
    attempts++;
    sender.send(new Attempt(permit, server.get(), granted.validUntil()));
  }

  private void denied(Refusal refusal) {
    if (stopped) {
      return;
    }
    boolean isFinal =
        refusal.code() == ResultCode.DEADLINE_PASSED || refusal.code() == ResultCode.NOT_READY;
    boolean isLastShard = shardIndex + 1 >= shards.size();
    if (isFinal || (isLastShard && !takeoverExpected)) {
      refuse(refusal);
      return;
    }
    if (isLastShard) {
      // The next owner of a shard is worth a further round; the router paces the questions.
      takeoverExpected = false;
      shardIndex = 0;
    } else {
      shardIndex++;
    }
    ask();
  }

  /**
   * Attempts the request again, or ends it if it must not run again or was attempted too often.
   *
   * @param failed attempt that failed
   * @param ran whether the failed attempt may have run
   * @param refusal reason, used if the request ends
   */
  void failed(Attempt failed, boolean ran, Refusal refusal) {
    whenReleased(failed.permit(), () -> released(failed, ran, refusal));
  }

  /**
   * Holds a failure back until the owners know of a crash that the request may have caused.
   * Otherwise an owner that knows nothing could run it again at once.
   *
   * @param permit permit of the attempt that failed
   * @param then passes the failure on
   */
  void whenReleased(Permit permit, Runnable then) {
    services.admission().whenReleased(permit.id(), then);
  }

  private void released(Attempt failed, boolean ran, Refusal refusal) {
    mayHaveRun |= ran;
    excluded.add(failed.server().name());
    boolean mayRepeat = !ran || info.route().repeatable();
    if (stopped || !mayRepeat || attempts >= MAXIMUM_ATTEMPTS) {
      refuse(refusal);
      return;
    }
    ask();
  }

  /** A refusal must not say that the request did not run if an earlier attempt may have. */
  private void refuse(Refusal refusal) {
    stopped = true;
    boolean contradicts = mayHaveRun && refusal.code().execution() == ResultCode.Execution.NOT_RUN;
    sender.refuse(
        contradicts
            ? new Refusal(ResultCode.BACKEND_FAILED, refusal.detail(), refusal.retryAfter())
            : refusal);
  }

  /**
   * Reports the end of an attempt to the owner of its shard.
   *
   * @param permit permit of the attempt
   * @param end how it ended
   * @param tokens tokens delivered
   */
  void end(Permit permit, AttemptEnd end, long tokens) {
    services.admission().reportEnd(permit.shard(), permit.id(), end, tokens);
  }

  /** Stops asking, because the caller has gone. */
  void stop() {
    stopped = true;
    PermitRequestId id = asked;
    if (id != null) {
      services.admission().withdraw(id);
    }
  }
}
