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
 * Registry of the requests that this daemon is serving. Operators' queries list it, and the
 * shutdown sequence uses it to count and end requests. Thread-safe.
 */
public final class ActiveRequests {

  private final NodeName node;
  private final Clock clock;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  /**
   * Lets the shutdown sequence end a request early. The methods may be called from any thread; the
   * request itself changes only on its event loop.
   */
  interface Handle {

    /**
     * Tells whether the caller can resume the response at another daemon.
     *
     * @return true if the response is a stream and its first token was written
     */
    boolean isResumable();

    /** Ends the stream with a request to the caller to resume it at another daemon. */
    void handOver();

    /**
     * Ends the request.
     *
     * @param refusal error that the caller receives
     */
    void end(Refusal refusal);
  }

  /** State of one active request. Written by the request's event loop, read by any thread. */
  static final class Entry {
    private static final String STREAMING = "streaming";

    private final RequestInfo info;
    private final Handle handle;
    private volatile String server = "";
    private volatile String state = "waiting";
    private volatile long tokens;

    private Entry(RequestInfo info, Handle handle) {
      this.info = info;
      this.handle = handle;
    }

    void markSent(String newServer) {
      server = newServer;
      state = "sent";
    }

    void markWaiting() {
      server = "";
      state = "waiting";
    }

    void markStreaming(long newTokens) {
      tokens = newTokens;
      if (!STREAMING.equals(state)) {
        state = STREAMING;
      }
    }
  }

  /**
   * Creates an empty registry.
   *
   * @param node name of this daemon, for the summaries
   * @param clock source of the current time, for the age of requests
   */
  public ActiveRequests(NodeName node, Clock clock) {
    this.node = node;
    this.clock = clock;
  }

  Entry add(RequestInfo info, Handle handle) {
    Entry entry = new Entry(info, handle);
    entries.put(info.id(), entry);
    return entry;
  }

  void remove(RequestInfo info) {
    entries.remove(info.id());
  }

  /**
   * Returns the number of active requests.
   *
   * @return number of requests that have not ended
   */
  public int size() {
    return entries.size();
  }

  /**
   * Counts the active requests by how they can be ended: not sent yet, sent and resumable at
   * another daemon, or sent and not resumable.
   *
   * @return the three counts
   */
  public OpenRequests countOpen() {
    int waiting = 0;
    int resumable = 0;
    int unresumable = 0;
    for (Entry entry : entries.values()) {
      if (entry.server.isEmpty()) {
        waiting++;
      } else if (entry.handle.isResumable()) {
        resumable++;
      } else {
        unresumable++;
      }
    }
    return new OpenRequests(waiting, resumable, unresumable);
  }

  /** Asks the callers of all resumable streams to resume at another daemon. */
  public void handOverAll() {
    entries.values().stream()
        .filter(entry -> entry.handle.isResumable())
        .forEach(entry -> entry.handle.handOver());
  }

  /**
   * Refuses the requests that are not currently sent to a backend server; they can be retried at
   * once.
   */
  public void refuseWaiting() {
    Refusal refusal =
        new Refusal(
            ResultCode.SHUTTING_DOWN,
            "this VM is shutting down; retry at another VM",
            Duration.ofMillis(1));
    entries.values().stream()
        .filter(entry -> entry.server.isEmpty())
        .forEach(entry -> entry.handle.end(refusal));
  }

  /**
   * Ends the requests that were sent to a backend server and cannot be resumed. Their outcome is
   * unknown, because the daemon stops before their responses arrive.
   */
  public void endUnresumable() {
    Refusal refusal =
        Refusal.permanent(
            ResultCode.OUTCOME_UNKNOWN, "this VM stopped before the response arrived");
    entries.values().stream()
        .filter(entry -> !entry.server.isEmpty() && !entry.handle.isResumable())
        .forEach(entry -> entry.handle.end(refusal));
  }

  /**
   * Lists the active requests for operators' queries.
   *
   * @return one summary for each request, in no particular order
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
