package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.KvCopies.Copy;
import org.cactusseam.logic.gateway.KvCopySchedule;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Carries out the {@link KvCopySchedule} of one run, and counts each copy as load of the engine
 * that holds it.
 */
final class KvCopier implements KvCopySchedule.Engines {

  private final Gateway gateway;
  private final StructuredLog log;
  private final String attemptId;
  private final ServerSelector.Requirements requirements;
  private final ServerInstance source;
  private final KvCopySchedule schedule = new KvCopySchedule();
  private Optional<ServerInstance> countedHolder = Optional.empty();
  private Instant nextMissingTargetLog = Instant.MIN;
  private boolean closed;

  KvCopier(StreamExchange exchange, ServerInstance source) {
    this.gateway = exchange.gateway;
    this.log = exchange.log;
    this.attemptId = exchange.head.attemptId();
    this.requirements = exchange.requirements();
    this.source = source;
  }

  @Override
  public boolean isUsable(ServerInstance engine) {
    return gateway.servers().isUsable(engine);
  }

  @Override
  public boolean isLeaving(ServerInstance engine) {
    return gateway.leavingServers().isLeaving(engine.id())
        || gateway.rollouts().isToBeReplaced(engine);
  }

  @Override
  public Optional<ServerInstance> choose(Set<String> excluded) {
    Set<String> allExcluded = new HashSet<>(excluded);
    allExcluded.addAll(requirements.excluded());
    Optional<ServerInstance> target =
        gateway
            .serverSelector()
            .chooseCopyTarget(
                new ServerSelector.Requirements(
                    requirements.service(),
                    requirements.regions(),
                    currentTokens(),
                    allExcluded,
                    requirements.spread(),
                    requirements.route(),
                    gateway.rollouts().copyTargets(source)),
                source);
    if (target.isEmpty()) {
      logMissingTarget(gateway.clock().instant());
    }
    return target;
  }

  /** Logs that no engine has room, with the room of each engine, at intervals. */
  private void logMissingTarget(Instant now) {
    if (now.isBefore(nextMissingTargetLog)) {
      return;
    }
    nextMissingTargetLog = now.plus(KvCopySchedule.REFRESH_INTERVAL);
    log.info(
        "copy_without_target",
        field("server", source.id()),
        field("domain", source.failureDomain()),
        field("tokens", currentTokens()),
        field("engines", describeEngines()));
  }

  private String describeEngines() {
    return gateway.servers().usable(source.service()).stream()
        .filter(engine -> !isLeaving(engine))
        .map(
            engine -> engine.id() + "/" + engine.failureDomain() + ":" + describeFreeTokens(engine))
        .collect(Collectors.joining(","));
  }

  void tick(Instant now) {
    schedule.next(isLeaving(source), this, now).ifPresent(this::copy);
  }

  /** Returns the size of the run in tokens as its engine reports it, or else the expected size. */
  private int currentTokens() {
    return gateway
        .reports()
        .runTokens(source.id(), attemptId, gateway.clock().instant())
        .orElse(requirements.tokens());
  }

  private void copy(ServerInstance target) {
    countAsLoad(Optional.of(target));
    Instant startedAt = gateway.clock().instant();
    if (schedule.copy().isEmpty()) {
      gateway.reports().reserveForCopy(target.id(), currentTokens(), startedAt);
    }
    gateway
        .engineClient()
        .copy(source, attemptId, target)
        .onSuccess(result -> onResult(result, target, startedAt))
        .onFailure(
            cause -> {
              logCopy("copy_unanswered", target, startedAt, String.valueOf(cause.getMessage()));
              schedule.recordUnanswered(gateway.clock().instant());
            });
  }

  private void onResult(EngineClient.CopyResult result, ServerInstance target, Instant startedAt) {
    switch (result) {
      case EngineClient.CopyResult.Copied copied -> {
        logCopy("copied", target, startedAt, copied.handle());
        schedule.recordCopied(target, copied.handle(), gateway.clock().instant());
      }
      case EngineClient.CopyResult.Rejected rejected -> {
        logCopy("copy_rejected", target, startedAt, rejected.reason());
        schedule.recordRejected(target, gateway.clock().instant());
        countAsLoad(schedule.copy().map(KvCopySchedule.Copy::holder));
      }
    }
  }

  private void logCopy(String event, ServerInstance target, Instant startedAt, String result) {
    log.info(
        event,
        field("server", source.id()),
        field("to", target.id()),
        field("tokens", currentTokens()),
        field("to_free", describeFreeTokens(target)),
        field("to_expected", gateway.loads().total(target.id()).tokens()),
        field("result", result),
        field("took_ms", Duration.between(startedAt, gateway.clock().instant()).toMillis()));
  }

  private String describeFreeTokens(ServerInstance target) {
    OptionalInt free = gateway.reports().freeTokens(target.id(), gateway.clock().instant());
    return free.isPresent() ? Integer.toString(free.getAsInt()) : "unknown";
  }

  private void countAsLoad(Optional<ServerInstance> holder) {
    countedHolder.ifPresent(
        before -> gateway.loads().removeRun(before.id(), requirements.tokens()));
    countedHolder = closed ? Optional.empty() : holder;
    countedHolder.ifPresent(now -> gateway.loads().addRun(now.id(), requirements.tokens()));
  }

  boolean hasUsableCopy() {
    return schedule.copy().filter(copy -> isUsable(copy.holder())).isPresent();
  }

  /** Returns whether there is a copy on a server that no roll-out replaces. */
  boolean hasCopyOnLastingServer() {
    return schedule
        .copy()
        .filter(copy -> gateway.rollouts().mayContinueOn(copy.holder()))
        .isPresent();
  }

  /** Returns the complete copy of the run, empty without one. */
  Optional<Copy> copy() {
    return schedule
        .copy()
        .map(copy -> new Copy(copy.holder(), new KvCopyReference(source.address(), copy.handle())));
  }

  /** Called when the run has ended: its copies no longer count as load. */
  void close() {
    if (!closed) {
      closed = true;
      countAsLoad(Optional.empty());
    }
  }
}
