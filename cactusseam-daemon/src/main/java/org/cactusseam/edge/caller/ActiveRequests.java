package org.cactusseam.edge.caller;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cactusseam.logic.shutdown.OpenRequests;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.Refusal;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.message.RequestSummary;

/**
 * Requests that this daemon serves, for operators' queries and for shutdown. Safe for all threads.
 */
public final class ActiveRequests {

  private final NodeName node;
  private final Clock clock;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  /**
   * How a request ends early when the daemon shuts down; its methods run on the request's event
   * loop.
   */
  interface Handle {

    /**
     * Tells whether the caller can resume the answer at another daemon; for all threads.
     *
     * @return true if it has begun as a stream
     */
    boolean isResumable();

    /** Asks the caller to resume elsewhere. */
    void handOver();

    /**
     * Ends the request.
     *
     * @param refusal answer
     */
    void end(Refusal refusal);
  }

  /** State of one request, written by its event loop and read by any thread. */
  static final class Entry {
    private static final String STREAMING = "streaming";

    private final RequestInfo info;
    private final Handle leaver;
    private volatile String server = "";
    private volatile String state = "waiting";
    private volatile long tokens;

    private Entry(RequestInfo info, Handle leaver) {
      this.info = info;
      this.leaver = leaver;
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
      if (!STREAMING.equals(state)) {
        state = STREAMING;
      }
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

  Entry add(RequestInfo info, Handle leaver) {
    Entry entry = new Entry(info, leaver);
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

  /**
   * Counts the requests by how they can end.
   *
   * @return counts
   */
  public OpenRequests open() {
    int waiting = 0;
    int resumable = 0;
    int unresumable = 0;
    for (Entry entry : entries.values()) {
      if (entry.server.isEmpty()) {
        waiting++;
      } else if (entry.leaver.isResumable()) {
        resumable++;
      } else {
        unresumable++;
      }
    }
    return new OpenRequests(waiting, resumable, unresumable);
  }

  /** Asks the callers of all streams to resume at another daemon. */
  public void handOverAll() {
    entries.values().stream()
        .filter(entry -> entry.leaver.isResumable())
        .forEach(entry -> entry.leaver.handOver());
  }

  /** Refuses the requests that were not sent to a backend server. */
  public void refuseWaiting() {
    Refusal refusal =
        new Refusal(
            ResultCode.SHUTTING_DOWN,
            "this VM shuts down; another one serves",
            Duration.ofMillis(1));
    entries.values().stream()
        .filter(entry -> entry.server.isEmpty())
        .forEach(entry -> entry.leaver.end(refusal));
  }

  /** Ends the requests that were sent and cannot be resumed, because the daemon ends. */
  public void answerUncertain() {
    Refusal refusal =
        Refusal.permanent(ResultCode.OUTCOME_UNKNOWN, "this VM ended before the answer came");
    entries.values().stream()
        .filter(entry -> !entry.server.isEmpty() && !entry.leaver.isResumable())
        .forEach(entry -> entry.leaver.end(refusal));
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
