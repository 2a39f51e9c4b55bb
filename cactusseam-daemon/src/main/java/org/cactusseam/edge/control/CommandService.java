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
import java.util.function.Supplier;
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

/**
 * Executes operators' commands: answers queries, appends changes and server orders to the control
 * log and waits until they are in force. Confined to the control thread.
 */
final class CommandService {

  private static final StructuredLog LOG = StructuredLog.of(CommandService.class);

  /**
   * Limits the memory for commands that never come into force, for example because all owners in a
   * region are lost.
   */
  private static final int MAX_UNFINISHED_COMMANDS = 1_000;

  /**
   * Time for owners to report whether a command is in force to a daemon that has not tracked it:
   * their replies, and the permits of the old configuration, which stay valid for 1 s.
   */
  private static final Duration SHOW_COMMAND_TIMEOUT = Duration.ofSeconds(2);

  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration RESTRICTION_REPLY_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration IN_FORCE_TIMEOUT = InForceTracker.ANSWER_AFTER;

  private final Vertx vertx;
  private final NodeName self;
  private final ControlLog log;
  private final InForceTracker inForce;
  private final ProvisionalRestrictions restrictions;
  private final PeerNetwork network;
  private final PeerQueries queries;
  private final Supplier<ResultTable> rollouts;
  private final Runnable configurationChanged;
  private final Map<String, List<Promise<CommandResult>>> waiting = new HashMap<>();

  /** Commands whose operators were told that the command is not in force yet, oldest first. */
  private final Set<String> unfinished = new LinkedHashSet<>();

  private final Map<String, RestrictionBroadcast> broadcasts = new HashMap<>();

  private static final class RestrictionBroadcast {
    final Promise<CommandResult> promise = Promise.promise();
    final Set<NodeName> unanswered = new HashSet<>();
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
      Supplier<ResultTable> rollouts,
      Runnable configurationChanged) {
    this.vertx = vertx;
    this.self = self;
    this.log = log;
    this.inForce = inForce;
    this.restrictions = restrictions;
    this.network = network;
    this.queries = queries;
    this.rollouts = rollouts;
    this.configurationChanged = configurationChanged;
  }

  Future<CommandResult> execute(String text, String commandId, String operator) {
    if (!log.isLoaded()) {
      return Future.succeededFuture(
          CommandResult.of(ResultCode.NOT_READY, "this VM has not loaded the configuration yet"));
    }
    return CommandParser.parse(text)
        .fold(
            error ->
                Future.succeededFuture(CommandResult.of(ResultCode.SYNTAX_ERROR, error.message())),
            command -> execute(command, commandId, operator));
  }

  private Future<CommandResult> execute(Command command, String commandId, String operator) {
    return switch (command) {
      case Command.ShowRequests query -> showRequests(query);
      case Command.Show show -> Future.succeededFuture(showTable(show));
      case Command.ShowCommand show -> showCommand(show.commandId());
      case Command.ConfigurationOrder order ->
          executeConfigurationOrder(order, commandId, operator);
      case Command.ServerOrder order -> executeServerOrder(order, commandId, operator);
    };
  }

  private Future<CommandResult> showRequests(Command.ShowRequests query) {
    return queries
        .queryAll(QUERY_TIMEOUT)
        .map(
            replies -> {
              List<RequestSummary> summaries =
                  replies.stream().flatMap(reply -> reply.requests().stream()).toList();
              Set<NodeName> missingPeers = new TreeSet<>(network.peers());
              replies.forEach(reply -> missingPeers.remove(reply.node()));
              String message = missingPeers.isEmpty() ? "" : "no answer from " + missingPeers;
              ResultTable table =
                  new QueryResults(log.state().configuration()).requests(query, summaries);
              return new CommandResult(ResultCode.OK, message, Optional.of(table));
            });
  }

  private CommandResult showTable(Command.Show show) {
    QueryResults results = new QueryResults(restrictions.effective(log.state()));
    ResultTable table =
        switch (show.listing()) {
          case SERVERS -> results.servers();
          case DOMAINS -> results.domains();
          case ACCOUNTS -> results.accounts();
          case CLASSES -> results.classes();
          case ROUTES -> results.routes();
          case NODES -> QueryResults.nodes(log.state().membership());
          case SHARDS -> shardTable();
          case ORDERS -> OrderReport.table(log.state().orders());
          case ROLLOUTS -> rollouts.get();
        };
    return new CommandResult(ResultCode.OK, "", Optional.of(table));
  }

  private ResultTable shardTable() {
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

  /**
   * Returns the state of a command. Owners that have not reported to this daemon yet get a short
   * time to do so, so that one query is enough.
   */
  private Future<CommandResult> showCommand(String commandId) {
    CommandResult result = currentResult(commandId);
    return result.code() == ResultCode.RECORDED_WAITING
        ? awaitInForce(commandId, SHOW_COMMAND_TIMEOUT)
        : Future.succeededFuture(result);
  }

  private CommandResult currentResult(String commandId) {
    Optional<RecordOutcome> outcome = log.state().recordedOutcome(commandId);
    if (outcome.isEmpty()) {
      return CommandResult.of(
          ResultCode.COMMAND_UNCERTAIN, "the control log does not contain the command so far");
    }
    CommandResult result = resultOf(commandId, outcome.get());
    if (result.code() == ResultCode.RECORDED_WAITING) {
      trackUnfinished(commandId);
    }
    return result;
  }

  /**
   * Keeps a command in the set for which this daemon goes on asking the owners, because they report
   * which changes they have applied only on request.
   */
  private void trackUnfinished(String commandId) {
    unfinished.add(commandId);
    if (unfinished.size() > MAX_UNFINISHED_COMMANDS) {
      unfinished.remove(unfinished.iterator().next());
    }
  }

  private CommandResult resultOf(String commandId, RecordOutcome outcome) {
    return switch (outcome) {
      case CONFLICT ->
          CommandResult.of(
              ResultCode.REVISION_CONFLICT, "another command changed the object before this one");
      case INVALID ->
          CommandResult.of(
              ResultCode.INVALID_COMMAND, "the command is not valid for the current configuration");
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
      case InForceEvent.InForce inForceEvent ->
          CommandResult.of(ResultCode.ACCEPTED, "in force, revision " + inForceEvent.offset());
      case InForceEvent.Waiting waitingEvent ->
          CommandResult.of(
              ResultCode.RECORDED_WAITING,
              "recorded as revision "
                  + waitingEvent.offset()
                  + ", waiting for owners "
                  + waitingEvent.missing()
                  + ", shards without owner "
                  + waitingEvent.withoutOwner());
    };
  }

  private Future<CommandResult> executeConfigurationOrder(
      Command.ConfigurationOrder order, String commandId, String operator) {
    if (log.state().recordedOutcome(commandId).isPresent()) {
      return awaitInForce(commandId);
    }
    OrderTranslation translation =
        new OrderTranslator(log.state().configuration()).translate(order, commandId, operator);
    return switch (translation) {
      case OrderTranslation.Refused refused ->
          Future.succeededFuture(CommandResult.of(refused.code(), refused.message()));
      case OrderTranslation.Unchanged unchanged ->
          Future.succeededFuture(CommandResult.of(ResultCode.UNCHANGED, unchanged.message()));
      case OrderTranslation.Changes changes -> append(changes.change());
    };
  }

  /**
   * Appends an order to a backend server. It is accepted when it shows up in the log; the owner of
   * the shard executes it after that.
   */
  private Future<CommandResult> executeServerOrder(
      Command.ServerOrder order, String commandId, String operator) {
    if (log.state().recordedOutcome(commandId).isPresent()) {
      return awaitInForce(commandId);
    }
    Optional<BackendServer> server = log.state().configuration().server(order.server());
    if (server.isEmpty()) {
      return invalidCommand("there is no server " + order.server());
    }
    if (server.get().kind() != BackendKind.ENGINE) {
      return invalidCommand("server " + order.server() + " is not an engine");
    }
    return OrderReport.toServerOrder(order)
        .map(
            serverOrder ->
                append(new OrderRecord.Issued(commandId, order.server(), serverOrder, operator)))
        .orElseGet(
            () -> invalidCommand("the name of the model, adapter, version or role is blank"));
  }

  private static Future<CommandResult> invalidCommand(String message) {
    return Future.succeededFuture(CommandResult.of(ResultCode.INVALID_COMMAND, message));
  }

  private Future<CommandResult> append(OrderRecord.Issued order) {
    LOG.info(
        "command_received",
        field("command", order.commandId()),
        field("server", order.server()),
        field("operator", order.operator()));
    return log.append(order)
        .transform(
            appended ->
                appended.failed() && !isAmbiguous(appended.cause())
                    ? Future.succeededFuture(logUnavailable())
                    : awaitInForce(order.commandId()));
  }

  private static boolean isAmbiguous(Throwable cause) {
    return !(cause instanceof LogException failure) || failure.isAmbiguous();
  }

  private static CommandResult logUnavailable() {
    return CommandResult.of(
        ResultCode.LOG_UNAVAILABLE,
        "the control log does not answer; the command was not recorded");
  }

  private Future<CommandResult> append(ControlRecord.Change change) {
    LOG.info(
        "command_received",
        field("command", change.commandId()),
        field("object", change.key()),
        field("operator", change.operator()));
    Promise<CommandResult> promise = Promise.promise();
    log.append(change)
        .onSuccess(offset -> awaitInForce(change.commandId()).onComplete(promise::handle))
        .onFailure(cause -> onAppendFailed(change, cause).onComplete(promise::handle));
    return promise.future();
  }

  private Future<CommandResult> onAppendFailed(ControlRecord.Change change, Throwable cause) {
    if (log.state().recordedOutcome(change.commandId()).isEmpty()
        && restrictions.add(change, log.state())) {
      return broadcastRestriction(change);
    }
    return isAmbiguous(cause)
        ? awaitInForce(change.commandId())
        : Future.succeededFuture(logUnavailable());
  }

  private Future<CommandResult> broadcastRestriction(ControlRecord.Change change) {
    configurationChanged.run();
    RestrictionBroadcast broadcast = new RestrictionBroadcast();
    broadcast.inForceAt.add(self);
    for (NodeName peer : network.peers()) {
      broadcast.unanswered.add(peer);
      network.send(peer, new PeerMessage.Restriction(change));
    }
    broadcasts.put(change.commandId(), broadcast);
    vertx.setTimer(
        RESTRICTION_REPLY_TIMEOUT.toMillis(), timer -> finishBroadcast(change.commandId()));
    if (broadcast.unanswered.isEmpty()) {
      finishBroadcast(change.commandId());
    }
    return broadcast.promise.future();
  }

  void onRestrictionReply(PeerMessage.RestrictionReply reply) {
    RestrictionBroadcast broadcast = broadcasts.get(reply.commandId());
    if (broadcast == null) {
      return;
    }
    if (reply.inForce()) {
      broadcast.unanswered.remove(reply.node());
      broadcast.inForceAt.add(reply.node());
    }
    if (broadcast.unanswered.isEmpty()) {
      finishBroadcast(reply.commandId());
    }
  }

  private void finishBroadcast(String commandId) {
    RestrictionBroadcast broadcast = broadcasts.remove(commandId);
    if (broadcast != null) {
      String message = "in force at " + broadcast.inForceAt + ", not recorded yet";
      broadcast.promise.complete(
          CommandResult.of(
              ResultCode.IN_FORCE_NOT_RECORDED,
              broadcast.unanswered.isEmpty()
                  ? message
                  : message + ", no answer from " + broadcast.unanswered));
    }
  }

  /**
   * Waits until the log contains the command and its owners have applied it, or until the timeout
   * has passed.
   */
  private Future<CommandResult> awaitInForce(String commandId) {
    return awaitInForce(commandId, IN_FORCE_TIMEOUT);
  }

  private Future<CommandResult> awaitInForce(String commandId, Duration timeout) {
    Promise<CommandResult> promise = Promise.promise();
    waiting.computeIfAbsent(commandId, key -> new ArrayList<>()).add(promise);
    vertx.setTimer(timeout.toMillis(), timer -> onTimeout(commandId, promise));
    onRecorded(commandId);
    return promise.future();
  }

  private void onTimeout(String commandId, Promise<CommandResult> promise) {
    List<Promise<CommandResult>> promises = waiting.get(commandId);
    if (promises != null && promises.remove(promise)) {
      if (promises.isEmpty()) {
        waiting.remove(commandId);
      }
      promise.complete(currentResult(commandId));
    }
  }

  /**
   * Completes the pending calls for a command that the log now contains, unless it still waits for
   * owners.
   *
   * @param commandId identity of the command
   */
  void onRecorded(String commandId) {
    Optional<RecordOutcome> outcome = log.state().recordedOutcome(commandId);
    if (outcome.isPresent()) {
      CommandResult result = resultOf(commandId, outcome.get());
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
   * Returns whether an operator waits for a command to come into force.
   *
   * @return true if at least one does
   */
  boolean isOperatorWaiting() {
    return !waiting.isEmpty();
  }

  /**
   * Returns whether an operator was told that a command is not in force yet and the command is
   * still not in force.
   *
   * @return true if there is such a command
   */
  boolean hasUnfinished() {
    return !unfinished.isEmpty();
  }

  /** Completes the pending calls for commands that have come into force. */
  void tick() {
    for (InForceEvent event : inForce.drain()) {
      if (event instanceof InForceEvent.InForce) {
        unfinished.remove(event.commandId());
        onRecorded(event.commandId());
      }
    }
  }

  /** Appends the restrictions that are in force but not in the log yet. */
  void appendPendingRestrictions() {
    restrictions.pending().forEach(log::append);
  }
}
