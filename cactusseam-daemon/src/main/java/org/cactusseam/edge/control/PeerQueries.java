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

/** Questions to all entry daemons about the requests that they serve. */
final class PeerQueries {

  /** Bound on the size of a reply; an operator who needs more narrows the question. */
  private static final int MAXIMUM_SUMMARIES = 2_000;

  private final Vertx vertx;
  private final NodeName self;
  private final PeerNetwork network;
  private final Supplier<List<RequestSummary>> localRequests;
  private final Map<Long, Question> questions = new HashMap<>();
  private long nextId;

  private static final class Question {
    final Promise<List<PeerMessage.RequestList>> promise = Promise.promise();
    final List<PeerMessage.RequestList> replies = new ArrayList<>();
    final Set<NodeName> missing = new HashSet<>();
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

  Future<List<PeerMessage.RequestList>> ask(Duration timeout) {
    long id = ++nextId;
    Question question = new Question();
    question.replies.add(reply(id));
    for (NodeName peer : network.peers()) {
      if (network.send(peer, new PeerMessage.ListRequests(id))) {
        question.missing.add(peer);
      }
    }
    questions.put(id, question);
    vertx.setTimer(timeout.toMillis(), timer -> finish(id));
    finishIfComplete(id);
    return question.promise.future();
  }

  void answer(NodeName from, PeerMessage.ListRequests query) {
    network.send(from, reply(query.id()));
  }

  void received(PeerMessage.RequestList reply) {
    Question question = questions.get(reply.id());
    if (question != null && question.missing.remove(reply.node())) {
      question.replies.add(reply);
      finishIfComplete(reply.id());
    }
  }

  private PeerMessage.RequestList reply(long id) {
    List<RequestSummary> summaries = localRequests.get().stream().limit(MAXIMUM_SUMMARIES).toList();
    return new PeerMessage.RequestList(id, self, summaries);
  }

  private void finishIfComplete(long id) {
    Question question = questions.get(id);
    if (question != null && question.missing.isEmpty()) {
      finish(id);
    }
  }

  private void finish(long id) {
    Question question = questions.remove(id);
    if (question != null) {
      question.promise.complete(List.copyOf(question.replies));
    }
  }
}
