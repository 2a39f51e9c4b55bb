package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.logic.control.ControlState;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.logic.query.QueryResults;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.logic.rollout.PoolRolloutPlan;
import org.cactusseam.logic.rollout.PoolRolloutReports;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ShardId;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.message.ShardRolloutReport;

/**
 * Exchanges what the owners of a pool's shards know about its roll-out, and records the next stage
 * if this daemon owns the first shard of the pool. Confined to the control thread.
 */
final class RolloutService {

  private static final StructuredLog LOG = StructuredLog.of(RolloutService.class);

  /** Interval of the reports; the owners test the responses as often. */
  private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

  /**
   * Time after which the record of a stage is appended again if the log does not show it. A
   * duplicate has no effect, because it expects the same revision.
   */
  private static final Duration APPEND_INTERVAL = Duration.ofSeconds(2);

  private final Clock clock;
  private final Supplier<ControlState> state;
  private final OwnedShards owned;
  private final Consumer<PeerMessage> peerSender;
  private final Consumer<ControlRecord> recordAppender;
  private final PoolRolloutReports reports = new PoolRolloutReports();
  private final Map<String, Instant> appended = new HashMap<>();
  private Instant reportedAt = Instant.MIN;
  private Configuration known = Configuration.EMPTY;

  /** Roll-outs of the known configuration; kept, because each tick asks for them. */
  private List<PoolRollout> rollouts = List.of();

  RolloutService(
      Clock clock,
      Supplier<ControlState> state,
      OwnedShards owned,
      Consumer<PeerMessage> peerSender,
      Consumer<ControlRecord> recordAppender) {
    this.clock = clock;
    this.state = state;
    this.owned = owned;
    this.peerSender = peerSender;
    this.recordAppender = recordAppender;
  }

  /**
   * Sends the reports that are due and records the stages that are due.
   *
   * @param shardMap servers of all shards
   */
  void tick(ShardMap shardMap) {
    Instant now = clock.instant();
    List<ShardRolloutReport> own = owned.rolloutReports();
    own.forEach(report -> reports.add(report, now));
    if (!own.isEmpty() && !now.isBefore(reportedAt.plus(REPORT_INTERVAL))) {
      reportedAt = now;
      peerSender.accept(new PeerMessage.ShardRollouts(own));
    }
    Configuration configuration = state.get().configuration();
    if (configuration != known) {
      known = configuration;
      rollouts = configuration.all(PoolRollout.class);
    }
    for (PoolRollout rollout : rollouts) {
      reports
          .badVerdict(rollout, now)
          .ifPresent(verdict -> owned.recordBadVerdict(rollout, verdict));
      List<ShardId> shards = shardMap.shardsOf(rollout.pool());
      if (shards.stream().findFirst().filter(owned::mayGrant).isPresent()) {
        List<ShardId> silent = reports.silent(rollout, shards, now);
        PoolRolloutPlan.next(rollout, reports.verdict(rollout, now), silent, now)
            .ifPresent(next -> append(next, configuration.revision(rollout.key()).orElseThrow()));
      }
    }
  }

  /** The command's identity states the expected revision, so that each decision has its own. */
  private void append(PoolRollout next, long revision) {
    String commandId = "roll-out-" + next.pool() + "-" + revision + "-" + next.stage();
    Instant now = clock.instant();
    appended.values().removeIf(at -> !now.isBefore(at.plus(APPEND_INTERVAL)));
    if (appended.putIfAbsent(commandId, now) == null) {
      LOG.info(
          "rollout_stage",
          field("pool", next.pool()),
          field("version", next.version()),
          field("stage", next.stage()),
          field("reason", next.reason()));
      recordAppender.accept(
          new ControlRecord.Change(commandId, next.key(), revision, Optional.of(next), "roll-out"));
    }
  }

  /**
   * Keeps the reports of another owner.
   *
   * @param message reports of its shards
   */
  void onReports(PeerMessage.ShardRollouts message) {
    Instant now = clock.instant();
    message.reports().forEach(report -> reports.add(report, now));
  }

  /**
   * Lists the roll-outs.
   *
   * @return table with the latest known evidence
   */
  ResultTable table() {
    return new QueryResults(state.get().configuration()).rollouts(reports.latest());
  }
}
