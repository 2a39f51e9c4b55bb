package org.cactusseam.edge.control;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.cactusseam.edge.peer.PeerNetwork;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.message.PeerMessage;
import org.cactusseam.model.message.RequestSummary;

/**
 * Queries all entry daemons for the requests that they serve and collects the replies until a
 * timeout. Confined to the control thread.
 */
final class PeerQueries {

  /** Limits the size of a reply. An operator who needs other requests can narrow the query. */
  private static final int MAX_SUMMARIES_PER_REPLY = 2_000;

  private final Vertx vertx;
  private final NodeName self;
  private final PeerNetwork network;
  private final Supplier<List<RequestSummary>> localRequests;
  private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();
  private long nextId;

  private static final class PendingQuery {
    final Promise<List<PeerMessage.RequestList>> promise = Promise.promise();
    final List<PeerMessage.RequestList> replies = new ArrayList<>();
    final Set<NodeName> unanswered = new HashSet<>();
  }

  PeerQueries(
      Vertx vertx,
      NodeName self,
      PeerNetwork network,
      Supplier<List<RequestSummary>> localRequests) {
    this.vertx = vertx;
    this.self = self;
    this.network = network;
    this.localRequests = localRequests;
  }

  Future<List<PeerMessage.RequestList>> queryAll(Duration timeout) {
    long id = ++nextId;
    PendingQuery pending = new PendingQuery();
    pending.replies.add(newReply(id));
    for (NodeName peer : network.peers()) {
      if (network.send(peer, new PeerMessage.ListRequests(id))) {
        pending.unanswered.add(peer);
      }
    }
    pendingQueries.put(id, pending);
    vertx.setTimer(timeout.toMillis(), timer -> finish(id));
    finishIfComplete(id);
    return pending.promise.future();
  }

  void answer(NodeName from, PeerMessage.ListRequests query) {
    network.send(from, newReply(query.id()));
  }

  void onReply(PeerMessage.RequestList reply) {
    PendingQuery pending = pendingQueries.get(reply.id());
    if (pending != null && pending.unanswered.remove(reply.node())) {
      pending.replies.add(reply);
      finishIfComplete(reply.id());
    }
  }

  private PeerMessage.RequestList newReply(long id) {
    List<RequestSummary> summaries =
        localRequests.get().stream().limit(MAX_SUMMARIES_PER_REPLY).toList();
    return new PeerMessage.RequestList(id, self, summaries);
  }

  private void finishIfComplete(long id) {
    PendingQuery pending = pendingQueries.get(id);
    if (pending != null && pending.unanswered.isEmpty()) {
      finish(id);
    }
  }

  private void finish(long id) {
    PendingQuery pending = pendingQueries.remove(id);
    if (pending != null) {
      pending.promise.complete(List.copyOf(pending.replies));
    }
  }
}
