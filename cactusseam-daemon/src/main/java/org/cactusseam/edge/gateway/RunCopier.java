package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.gateway.CopyPlan;
import org.cactusseam.logic.gateway.Placement;
import org.cactusseam.logic.gateway.RunCopies.Copy;
import org.cactusseam.model.gateway.Continuation;
import org.cactusseam.model.gateway.ServerInstance;

/** Carries out the {@link CopyPlan} of one run. */
final class RunCopier implements CopyPlan.Engines {

  private final Gateway gateway;
  private final StructuredLog log;
  private final String attemptId;
  private final Placement.Need need;
  private final ServerInstance source;
  private final Optional<ServerInstance> backup;
  private final MoveListener listener;
  private final CopyPlan plan = new CopyPlan();
  private Optional<ServerInstance> counted = Optional.empty();
  private boolean closed;

  /** Is told how a move ends. */
  interface MoveListener {

    /** The run has stopped and continues from its copies. */
    void moved();

    /** The run was not moved; it goes on unless its stream has ended meanwhile. */
    void notMoved();
  }

  RunCopier(
      StreamExchange exchange,
      ServerInstance source,
      Optional<ServerInstance> backup,
      MoveListener listener) {
    this.gateway = exchange.gateway;
    this.log = exchange.log;
    this.attemptId = exchange.head.attemptId();
    this.need = exchange.need();
    this.source = source;
    this.backup = backup;
    this.listener = listener;
    backup.ifPresent(holder -> gateway.loads().started(holder.id(), need.tokens()));
  }

  @Override
  public boolean isUsable(ServerInstance engine) {
    return gateway.servers().isUsable(engine);
  }

  @Override
  public Optional<ServerInstance> choose(Set<String> excluded) {
    Set<String> all = new HashSet<>(excluded);
    all.addAll(need.excluded());
    return gateway
        .placement()
        .chooseCopy(new Placement.Need(need.service(), need.regions(), need.tokens(), all), source);
  }

  /** Returns whether a move is now in progress. */
  boolean tick(Instant now) {
    switch (plan.next(gateway.departures().stopAt(source.id()), this, now)) {
      case CopyPlan.Step.Nothing none -> {
        return false;
      }
      case CopyPlan.Step.CopyTo copy -> {
        copy(copy.target());
        return false;
      }
      case CopyPlan.Step.MoveTo move -> {
        move(move.target());
        return true;
      }
    }
  }

  private void copy(ServerInstance target) {
    count(target);
    Instant startedAt = gateway.clock().instant();
    gateway
        .engines()
        .move(source, attemptId, target, false)
        .onSuccess(
            result -> {
              if (result instanceof EngineCalls.MoveResult.Copied copied) {
                log.info(
                    "copied",
                    field("server", source.id()),
                    field("to", target.id()),
                    field("took_ms", millisSince(startedAt)));
                plan.copied(target, copied.handle());
              } else {
                failed("copy_failed", target, result.toString());
              }
            })
        .onFailure(cause -> failed("copy_failed", target, String.valueOf(cause.getMessage())));
  }

  private long millisSince(Instant start) {
    return Duration.between(start, gateway.clock().instant()).toMillis();
  }

  private void move(ServerInstance target) {
    Instant startedAt = gateway.clock().instant();
    gateway
        .engines()
        .move(source, attemptId, target, true)
        .onSuccess(
            result -> {
              if (result instanceof EngineCalls.MoveResult.Copied copied) {
                log.info(
                    "moved",
                    field("server", source.id()),
                    field("to", target.id()),
                    field("took_ms", millisSince(startedAt)));
                plan.copied(target, copied.handle());
                listener.moved();
              } else {
                failed("move_failed", target, result.toString());
                listener.notMoved();
              }
            })
        .onFailure(
            cause -> {
              failed("move_failed", target, String.valueOf(cause.getMessage()));
              listener.notMoved();
            });
  }

  private void failed(String event, ServerInstance target, String reason) {
    log.info(
        event, field("server", source.id()), field("to", target.id()), field("reason", reason));
    count(Optional.empty());
    plan.failed(target, gateway.clock().instant());
  }

  private void count(ServerInstance holder) {
    if (counted.filter(holder::equals).isEmpty()) {
      count(Optional.of(holder));
    }
  }

  /** Counts the memory of the copy as load of its holder. */
  private void count(Optional<ServerInstance> holder) {
    counted.ifPresent(before -> gateway.loads().ended(before.id(), need.tokens()));
    counted = closed ? Optional.empty() : holder;
    counted.ifPresent(now -> gateway.loads().started(now.id(), need.tokens()));
  }

  /** Returns the copies of the run, the newest last. */
  Set<Copy> copies() {
    Set<Copy> copies = new java.util.LinkedHashSet<>();
    backup.ifPresent(
        holder -> copies.add(new Copy(holder, new Continuation(holder.address(), attemptId))));
    plan.copy()
        .ifPresent(
            copy ->
                copies.add(
                    new Copy(copy.holder(), new Continuation(source.address(), copy.handle()))));
    return copies;
  }

  /** The run has ended; its copies no longer count as load. */
  void close() {
    if (!closed) {
      closed = true;
      count(Optional.empty());
      backup.ifPresent(holder -> gateway.loads().ended(holder.id(), need.tokens()));
    }
  }
}
