package org.cactusseam.edge.caller;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.message.RequestSummary;

/**
 * Requests that this daemon serves, for operators' queries and for shutdown. Safe for all threads.
 */
public final class ActiveRequests {

  private final NodeName node;
  private final Clock clock;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  /** State of one request, written by its event loop and read by any thread. */
  static final class Entry {
    private final RequestInfo info;
    private final Runnable handOver;
    private volatile String server = "";
    private volatile String state = "waiting";
    private volatile long tokens;

    private Entry(RequestInfo info, Runnable handOver) {
      this.info = info;
      this.handOver = handOver;
    }

    void sentTo(String newServer) {
      server = newServer;
      state = "sent";
    }

    void waiting() {
      server = "";
      state = "waiting";
    }

    void streaming(long newTokens) {
      tokens = newTokens;
      state = "streaming";
    }
  }

  /**
   * Creates an empty registry.
   *
   * @param node this daemon
   * @param clock source of time
   */
  public ActiveRequests(NodeName node, Clock clock) {
    this.node = node;
    this.clock = clock;
  }

  Entry add(RequestInfo info, Runnable handOver) {
    Entry entry = new Entry(info, handOver);
    entries.put(info.id(), entry);
    return entry;
  }

  void remove(RequestInfo info) {
    entries.remove(info.id());
  }

  /**
   * Returns the number of requests.
   *
   * @return requests that have not ended
   */
  public int size() {
    return entries.size();
  }

  /** Asks the callers of all streams to resume at another daemon. */
  public void handOverAll() {
    entries.values().forEach(entry -> entry.handOver.run());
  }

  /**
   * Lists the requests for operators.
   *
   * @return summaries
   */
  public List<RequestSummary> summaries() {
    return entries.values().stream().map(this::summary).toList();
  }

  private RequestSummary summary(Entry entry) {
    return new RequestSummary(
        entry.info.id(),
        node,
        entry.info.account().name(),
        entry.info.account().priorityClass(),
        entry.info.route().name(),
        entry.server,
        entry.state,
        entry.tokens,
        Duration.between(entry.info.arrival(), clock.instant()).toMillis());
  }
}
