package org.cactusseam.edge.control;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cactusseam.edge.logging.StructuredLog;
import org.cactusseam.edge.peer.PeerNetwork;
import org.cactusseam.edge.platform.LogException;
import org.cactusseam.logic.control.InForceEvent;
import org.cactusseam.logic.control.InForceTracker;
import org.cactusseam.logic.control.ProvisionalRestrictions;
import org.cactusseam.logic.control.RecordOutcome;
import org.cactusseam.logic.control.ShardOwners;
import org.cactusseam.logic.membership.ShardMap;
import org.cactusseam.logic.query.Command;
import org.cactusseam.logic.query.CommandParser;
import org.cactusseam.logic.query.OrderTranslation;
import org.cactusseam.logic.query.OrderTranslator;
import org.cactusseam.logic.query.QueryResults;
import org.cactusseam.logic.query.ResultTable;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.control.ControlRecord;
import org.cactusseam.model.control.OrderRecord;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.message.RequestSummary;

/** Carries out operators' commands. Confined to the control thread. */
final class CommandService {

  private static final StructuredLog LOG = StructuredLog.of(CommandService.class);

  /** Bounds the memory for commands that never come into force, such as in a lost region. */
  private static final int MAXIMUM_UNFINISHED = 1_000;

  /** A daemon that has not followed a command waits for the owners and for the permits of 1 s. */
  private static final Duration SHOW_TIMEOUT = Duration.ofSeconds(2);

  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RESTRICTION_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RECORD_TIMEOUT = InForceTracker.ANSWER_AFTER;

  private final Vertx vertx;
  private final NodeName self;
  private final ControlLog log;
  private final InForceTracker inForce;
  private final ProvisionalRestrictions restrictions;
  private final PeerNetwork network;
  private final PeerQueries queries;
  private final Runnable configurationChanged;
  private final Map<String, List<Promise<CommandResult>>> waiting = new HashMap<>();

  /** Commands whose operators were told to come back, oldest first. */
  private final Set<String> unfinished = new LinkedHashSet<>();

  private final Map<String, RestrictionRound> rounds = new HashMap<>();

  private static final class RestrictionRound {
    final Promise<CommandResult> promise = Promise.promise();
    final Set<NodeName> missing = new HashSet<>();
    final Set<NodeName> inForceAt = new TreeSet<>();
  }

  CommandService(
      Vertx vertx,
      NodeName self,
      ControlLog log,
      InForceTracker inForce,
      ProvisionalRestrictions restrictions,
      PeerNetwork network,
      PeerQueries queries,
      Runnable configurationChanged) {
    this.vertx = vertx;
    this.self = self;
    this.log = log;
    this.inForce = inForce;
    this.restrictions = restrictions;
    this.network = network;
    this.queries = queries;
    this.configurationChanged = configurationChanged;
  }

  Future<CommandResult> execute(String text, String commandId, String operator) {
    if (!log.isLoaded()) {
      return Future.succeededFuture(
          CommandResult.of(ResultCode.NOT_READY, "this VM has no configuration yet"));
    }
    return CommandParser.parse(text)
        .fold(
            error ->
                Future.succeededFuture(CommandResult.of(ResultCode.SYNTAX_ERROR, error.message())),
            command -> execute(command, commandId, operator));
  }

  private Future<CommandResult> execute(Command command, String commandId, String operator) {
    return switch (command) {
      case Command.ShowRequests query -> requests(query);
      case Command.Show show -> Future.succeededFuture(table(show));
      case Command.ShowCommand show -> showCommand(show.commandId());
      case Command.ConfigurationOrder order -> order(order, commandId, operator);
      case Command.ServerOrder order -> serverOrder(order, commandId, operator);
    };
  }

  private Future<CommandResult> requests(Command.ShowRequests query) {
    return queries
        .ask(QUERY_TIMEOUT)
        .map(
            replies -> {
              List<RequestSummary> all =
                  replies.stream().flatMap(reply -> reply.requests().stream()).toList();
              Set<NodeName> silent = new TreeSet<>(network.peers());
              replies.forEach(reply -> silent.remove(reply.node()));
              String message = silent.isEmpty() ? "" : "no answer from " + silent;
              ResultTable table =
                  new QueryResults(log.state().configuration()).requests(query, all);
              return new CommandResult(ResultCode.OK, message, Optional.of(table));
            });
  }

  private CommandResult table(Command.Show show) {
    QueryResults answers = new QueryResults(restrictions.effective(log.state()));
    ResultTable table =
        switch (show.listing()) {
          case SERVERS -> answers.servers();
          case DOMAINS -> answers.domains();
          case ACCOUNTS -> answers.accounts();
          case CLASSES -> answers.classes();
          case ROUTES -> answers.routes();
          case NODES -> QueryResults.nodes(log.state().membership());
          case SHARDS -> shards();
          case ORDERS -> OrderReport.table(log.state().orders());
        };
    return new CommandResult(ResultCode.OK, "", Optional.of(table));
  }

  private ResultTable shards() {
    ShardOwners owners = log.state().owners();
    List<List<ResultTable.Cell>> rows = new ArrayList<>();
    ShardMap.of(log.state().configuration())
        .shards()
        .forEach(
            (shard, servers) ->
                rows.add(
                    ResultTable.row(
                        shard,
                        owners.of(shard).map(owner -> owner.run().node().value()).orElse(""),
                        owners.of(shard).map(owner -> owner.epoch()).orElse(-1L),
                        String.join(
                            " ",
                            servers.stream()
                                .map(BackendServer::name)
                                .map(Object::toString)
                                .toList()))));
    return new ResultTable(List.of("shard", "owner", "epoch", "servers"), rows);
  }

  /** Owners that this daemon has not heard get a moment to answer, so that one query is enough. */
  private Future<CommandResult> showCommand(String commandId) {
    CommandResult known = progress(commandId);
    return known.code() == ResultCode.RECORDED_WAITING
        ? await(commandId, SHOW_TIMEOUT)
        : Future.succeededFuture(known);
  }

  private CommandResult progress(String commandId) {
    Optional<RecordOutcome> verdict = log.state().recordedOutcome(commandId);
    if (verdict.isEmpty()) {
      return CommandResult.of(
          ResultCode.COMMAND_UNCERTAIN, "the log has no such command up to now");
    }
    CommandResult result = result(commandId, verdict.get());
    if (result.code() == ResultCode.RECORDED_WAITING) {
      follow(commandId);
    }
    return result;
  }

  /** Owners state what they have applied only when asked, so that somebody has to go on asking. */
  private void follow(String commandId) {
    unfinished.add(commandId);
    if (unfinished.size() > MAXIMUM_UNFINISHED) {
      unfinished.remove(unfinished.iterator().next());
    }
  }

  private CommandResult result(String commandId, RecordOutcome verdict) {
    return switch (verdict) {
      case CONFLICT ->
          CommandResult.of(
              ResultCode.REVISION_CONFLICT, "another command changed the object first");
      case INVALID ->
          CommandResult.of(
              ResultCode.INVALID_COMMAND, "the command does not fit the configuration any more");
      case ACCEPTED, DUPLICATE ->
          OrderReport.progress(log.state(), commandId)
              .map(message -> CommandResult.of(ResultCode.ACCEPTED, message))
              .orElseGet(() -> inForceResult(commandId));
    };
  }

  private CommandResult inForceResult(String commandId) {
    long offset = log.state().offsetOf(commandId).orElse(-1L);
    if (inForce.progress(commandId).isEmpty()) {
      inForce.trackCommand(commandId, offset, log.state().owners().owners().keySet());
    }
    return switch (inForce.progress(commandId).orElseThrow()) {
      case InForceEvent.InForce done ->
          CommandResult.of(ResultCode.ACCEPTED, "in force, revision " + done.offset());
      case InForceEvent.Waiting open ->
          CommandResult.of(
              ResultCode.RECORDED_WAITING,
              "recorded as revision "
                  + open.offset()
                  + ", waiting for owners "
                  + open.missing()
                  + ", shards without owner "
                  + open.withoutOwner());
    };
  }

  private Future<CommandResult> order(
      Command.ConfigurationOrder order, String commandId, String operator) {
    if (log.state().recordedOutcome(commandId).isPresent()) {
      return await(commandId);
    }
    OrderTranslation translation =
        new OrderTranslator(log.state().configuration()).translate(order, commandId, operator);
    return switch (translation) {
      case OrderTranslation.Refused refused ->
          Future.succeededFuture(CommandResult.of(refused.code(), refused.message()));
      case OrderTranslation.Unchanged unchanged ->
          Future.succeededFuture(CommandResult.of(ResultCode.UNCHANGED, unchanged.message()));
      case OrderTranslation.Changes changes -> record(changes.change());
    };
  }

  /** An order is accepted when the log shows it; its owner carries it out after that. */
  private Future<CommandResult> serverOrder(
      Command.ServerOrder order, String commandId, String operator) {
    if (log.state().recordedOutcome(commandId).isPresent()) {
      return await(commandId);
    }
    Optional<BackendServer> server = log.state().configuration().server(order.server());
    if (server.isEmpty()) {
      return invalid("there is no server " + order.server());
    }
    if (server.get().kind() != BackendKind.ENGINE) {
      return invalid("server " + order.server() + " is not an engine");
    }
    return OrderReport.orderOf(order)
        .map(what -> record(new OrderRecord.Issued(commandId, order.server(), what, operator)))
        .orElseGet(() -> invalid("an order needs a name that is not blank"));
  }

  private static Future<CommandResult> invalid(String message) {
    return Future.succeededFuture(CommandResult.of(ResultCode.INVALID_COMMAND, message));
  }

  private Future<CommandResult> record(OrderRecord.Issued order) {
    LOG.info(
        "command_received",
        field("command", order.commandId()),
        field("server", order.server()),
        field("operator", order.operator()));
    return log.append(order)
        .transform(
            appended ->
                appended.failed() && !isAmbiguous(appended.cause())
                    ? Future.succeededFuture(nothingRecorded())
                    : await(order.commandId()));
  }

  private static boolean isAmbiguous(Throwable cause) {
    return !(cause instanceof LogException failure) || failure.isAmbiguous();
  }

  private static CommandResult nothingRecorded() {
    return CommandResult.of(
        ResultCode.LOG_UNAVAILABLE, "the log does not answer; nothing was recorded");
  }

  private Future<CommandResult> record(ControlRecord.Change change) {
    LOG.info(
        "command_received",
        field("command", change.commandId()),
        field("object", change.key()),
        field("operator", change.operator()));
    Promise<CommandResult> promise = Promise.promise();
    log.append(change)
        .onSuccess(offset -> await(change.commandId()).onComplete(promise::handle))
        .onFailure(cause -> notRecorded(change, cause).onComplete(promise::handle));
    return promise.future();
  }

  private Future<CommandResult> notRecorded(ControlRecord.Change change, Throwable cause) {
    if (log.state().recordedOutcome(change.commandId()).isEmpty()
        && restrictions.add(change, log.state())) {
      return restrictEverywhere(change);
    }
    return isAmbiguous(cause)
        ? await(change.commandId())
        : Future.succeededFuture(nothingRecorded());
  }

  private Future<CommandResult> restrictEverywhere(ControlRecord.Change change) {
    configurationChanged.run();
    RestrictionRound round = new RestrictionRound();
    round.inForceAt.add(self);
    for (NodeName peer : network.peers()) {
      round.missing.add(peer);
      network.send(peer, new PeerMessage.Restriction(change));
    }
    rounds.put(change.commandId(), round);
    vertx.setTimer(RESTRICTION_TIMEOUT.toMillis(), timer -> finishRound(change.commandId()));
    if (round.missing.isEmpty()) {
      finishRound(change.commandId());
    }
    return round.promise.future();
  }

  void restrictionAnswered(PeerMessage.RestrictionReply answer) {
    RestrictionRound round = rounds.get(answer.commandId());
    if (round == null) {
      return;
    }
    if (answer.inForce()) {
      round.missing.remove(answer.node());
      round.inForceAt.add(answer.node());
    }
    if (round.missing.isEmpty()) {
      finishRound(answer.commandId());
    }
  }

  private void finishRound(String commandId) {
    RestrictionRound round = rounds.remove(commandId);
    if (round != null) {
      String message = "in force at " + round.inForceAt + ", not recorded yet";
      round.promise.complete(
          CommandResult.of(
              ResultCode.IN_FORCE_NOT_RECORDED,
              round.missing.isEmpty() ? message : message + ", no answer from " + round.missing));
    }
  }

  /** Waits until the log shows the command and its owners have applied it, or the time is over. */
  private Future<CommandResult> await(String commandId) {
    return await(commandId, RECORD_TIMEOUT);
  }

  private Future<CommandResult> await(String commandId, Duration atMost) {
    Promise<CommandResult> promise = Promise.promise();
    waiting.computeIfAbsent(commandId, key -> new ArrayList<>()).add(promise);
    vertx.setTimer(atMost.toMillis(), timer -> timeout(commandId, promise));
    recorded(commandId);
    return promise.future();
  }

  private void timeout(String commandId, Promise<CommandResult> promise) {
    List<Promise<CommandResult>> others = waiting.get(commandId);
    if (others != null && others.remove(promise)) {
      if (others.isEmpty()) {
        waiting.remove(commandId);
      }
      promise.complete(progress(commandId));
    }
  }

  /**
   * Notes that the log shows a command.
   *
   * @param commandId identity of the command
   */
  void recorded(String commandId) {
    Optional<RecordOutcome> verdict = log.state().recordedOutcome(commandId);
    if (verdict.isPresent()) {
      CommandResult result = result(commandId, verdict.get());
      if (result.code() != ResultCode.RECORDED_WAITING) {
        complete(commandId, result);
      }
    }
  }

  private void complete(String commandId, CommandResult result) {
    List<Promise<CommandResult>> promises = waiting.remove(commandId);
    if (promises != null) {
      promises.forEach(promise -> promise.tryComplete(result));
    }
  }

  /**
   * Tells whether an operator waits for a command to come into force.
   *
   * @return true if one does
   */
  boolean isWaiting() {
    return !waiting.isEmpty();
  }

  /**
   * Tells whether an operator was told to come back for a command that is still not in force.
   *
   * @return true if there is such a command
   */
  boolean hasUnfinished() {
    return !unfinished.isEmpty();
  }

  /** Answers commands that came into force and appends restrictions that the log lacks. */
  void tick() {
    for (InForceEvent event : inForce.drain()) {
      if (event instanceof InForceEvent.InForce) {
        unfinished.remove(event.commandId());
        recorded(event.commandId());
      }
    }
  }

  /** Appends the restrictions that the log does not contain yet. */
  void appendPending() {
    restrictions.pending().forEach(log::append);
  }
}
