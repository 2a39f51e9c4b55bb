package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.KvCopies.Copy;
import org.cactusseam.logic.gateway.KvCopySchedule;
import org.cactusseam.logic.gateway.ServerSelector;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;

/**
 * Carries out the {@link KvCopySchedule} of one run and counts its copies as load of their holders.
 */
final class KvCopier implements KvCopySchedule.Engines {

  private final Gateway gateway;
  private final StructuredLog log;
  private final String attemptId;
  private final ServerSelector.Requirements need;
  private final ServerInstance source;
  private final KvCopySchedule plan = new KvCopySchedule();
  private Optional<ServerInstance> counted = Optional.empty();
  private boolean closed;

  KvCopier(StreamExchange exchange, ServerInstance source) {
    this.gateway = exchange.gateway;
    this.log = exchange.log;
    this.attemptId = exchange.head.attemptId();
    this.need = exchange.need();
    this.source = source;
  }

  @Override
  public boolean isUsable(ServerInstance engine) {
    return gateway.servers().isUsable(engine);
  }

  @Override
  public boolean isLeaving(ServerInstance engine) {
    return gateway.departures().isLeaving(engine.id());
  }

  @Override
  public Optional<ServerInstance> choose(Set<String> excluded) {
    Set<String> all = new HashSet<>(excluded);
    all.addAll(need.excluded());
    return gateway
        .placement()
        .chooseCopyTarget(
            new ServerSelector.Requirements(
                need.service(), need.regions(), tokensNow(), all, need.spread()),
            source);
  }

  void tick(Instant now) {
    plan.next(isLeaving(source), this, now).ifPresent(this::copy);
  }

  /** Returns the size of the run as its engine reports it, or what it is expected to need. */
  private int tokensNow() {
    return gateway
        .reports()
        .runTokens(source.id(), attemptId, gateway.clock().instant())
        .orElse(need.tokens());
  }

  private void copy(ServerInstance target) {
    count(Optional.of(target));
    Instant startedAt = gateway.clock().instant();
    if (plan.copy().isEmpty()) {
      gateway.reports().reserveForCopy(target.id(), tokensNow(), startedAt);
    }
    gateway
        .engines()
        .copy(source, attemptId, target)
        .onSuccess(result -> answered(result, target, startedAt))
        .onFailure(
            cause -> {
              log("copy_unanswered", target, startedAt, String.valueOf(cause.getMessage()));
              plan.recordUnanswered(gateway.clock().instant());
            });
  }

  private void answered(EngineClient.CopyResult result, ServerInstance target, Instant startedAt) {
    switch (result) {
      case EngineClient.CopyResult.Copied copied -> {
        log("copied", target, startedAt, copied.handle());
        plan.recordCopied(target, copied.handle(), gateway.clock().instant());
      }
      case EngineClient.CopyResult.Rejected rejected -> {
        log("copy_rejected", target, startedAt, rejected.reason());
        plan.recordRejected(target, gateway.clock().instant());
        count(plan.copy().map(KvCopySchedule.Copy::holder));
      }
    }
  }

  private void log(String event, ServerInstance target, Instant startedAt, String result) {
    log.info(
        event,
        field("server", source.id()),
        field("to", target.id()),
        field("tokens", tokensNow()),
        field("to_free", free(target)),
        field("to_expected", gateway.loads().total(target.id()).tokens()),
        field("result", result),
        field("took_ms", Duration.between(startedAt, gateway.clock().instant()).toMillis()));
  }

  private String free(ServerInstance target) {
    OptionalInt free = gateway.reports().freeTokens(target.id(), gateway.clock().instant());
    return free.isPresent() ? Integer.toString(free.getAsInt()) : "unknown";
  }

  private void count(Optional<ServerInstance> holder) {
    counted.ifPresent(before -> gateway.loads().removeRun(before.id(), need.tokens()));
    counted = closed ? Optional.empty() : holder;
    counted.ifPresent(now -> gateway.loads().addRun(now.id(), need.tokens()));
  }

  boolean hasUsableCopy() {
    return plan.copy().filter(copy -> isUsable(copy.holder())).isPresent();
  }

  /** Returns the copy of the run, if there is a complete one. */
  Optional<Copy> copy() {
    return plan.copy()
        .map(copy -> new Copy(copy.holder(), new KvCopyReference(source.address(), copy.handle())));
  }

  /** The run has ended; its copies no longer count as load. */
  void close() {
    if (!closed) {
      closed = true;
      count(Optional.empty());
    }
  }
}
