package org.cactusseam.edge.gateway;

import static org.cactusseam.edge.logging.StructuredLog.field;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import org.cactusseam.logic.gateway.KvCopies;
import org.cactusseam.logic.gateway.RouteDecision;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayService;
import org.cactusseam.model.gateway.KvCopyReference;
import org.cactusseam.model.gateway.ServerInstance;
import org.jspecify.annotations.Nullable;

/**
 * A request that is answered by a stream of events. The stream continues at another server when its
 * server goes: from a copy of the run's memory, or, where the route allows it, as a new run after
 * the last event. The caller sees one answer, with the head of the first server.
 */
final class StreamExchange extends Exchange {

  private static final int STATUS_OK = 200;
  private static final int STATUS_SERVER_ERROR = 500;

  private final HttpServerResponse response;
  private @Nullable StreamRun current;
  private boolean headWritten;
  private OptionalLong lastEvent = OptionalLong.empty();
  private final KvCopies copies = new KvCopies();
  private final StreamTimings times = new StreamTimings();
  private int continuations;

  StreamExchange(
      Gateway gateway,
      HttpServerRequest incoming,
      Buffer body,
      CallerRequest head,
      RouteDecision.Accepted accepted,
      GatewayService service,
      Instant receivedAt) {
    super(gateway, incoming, body, head, accepted, service, receivedAt);
    this.response = incoming.response();
    // The caller resumes a stream of its own: its last event counts as delivered.
    head.lastEventId().ifPresent(this::resumeAfter);
  }

  private void resumeAfter(String id) {
    try {
      lastEvent = OptionalLong.of(Long.parseLong(id));
    } catch (NumberFormatException e) {
      log.info("unknown_event_identity", field("last_event", id));
    }
  }

  @Override
  void send(ServerInstance server) {
    start(server, Optional.empty());
  }

  private void start(ServerInstance server, Optional<KvCopyReference> continuation) {
    countSend(server);
    current = new StreamRun(this, server, continuation);
    current.start();
  }

  Optional<String> lastEventId() {
    return lastEvent.isPresent()
        ? Optional.of(Long.toString(lastEvent.getAsLong()))
        : head.lastEventId();
  }

  /** Writes the head of the answer once, with the headers of the first server. */
  void head(StreamRun run) {
    if (!headWritten) {
      headWritten = true;
      response.setStatusCode(STATUS_OK).setChunked(true);
      response.headers().addAll(run.answerHeaders());
      announceClose();
    }
  }

  void event(StreamRun run, EventSplitter.Event event) {
    if (isFinished() || run != current) {
      return;
    }
    if (event.id().isPresent()
        && lastEvent.isPresent()
        && event.id().getAsLong() <= lastEvent.getAsLong()) {
      return;
    }
    head(run);
    if (event.id().isPresent()) {
      lastEvent = event.id();
    }
    times.delivered(gateway.clock().instant());
    response.write(event.bytes());
    if (response.writeQueueFull()) {
      run.pause();
      response.drainHandler(drained -> run.resume());
    }
  }

  void completed(StreamRun run) {
    if (isFinished() || run != current) {
      return;
    }
    head(run);
    logStream("answered", "whole");
    finish();
    response.end();
    closeIfDraining();
  }

  private void logStream(String outcome, String reason) {
    log.info(
        "stream",
        field("events", times.events()),
        field("first_event_ms", times.firstAfter(receivedAt)),
        field("longest_gap_ms", times.longestGapMillis()),
        field("gap_before_event", times.eventAfterLongestGap()),
        field("continuations", continuations));
    logEnd(outcome, STATUS_OK, reason);
  }

  /** The server answered with a failure of its own: another one is tried, or it is passed on. */
  void serverFailed(StreamRun run, int status, Buffer content) {
    if (isFinished() || run != current) {
      return;
    }
    if (headWritten || (status >= STATUS_SERVER_ERROR && mayRunAgain(run))) {
      broken(run, "the server failed with status " + status);
      return;
    }
    logEnd("answered", status, "failure");
    finish();
    response.setStatusCode(status);
    response.headers().addAll(run.answerHeaders());
    announceClose();
    response.end(content);
    closeIfDraining();
  }

  /** The server has not run the request and will not run it. */
  void notRun(StreamRun run, String reason) {
    if (isFinished() || run != current) {
      return;
    }
    current = null;
    excluded.add(run.server().id());
    if (run.isContinuation()) {
      continueElsewhere(run, reason);
    } else if (gateway.placement().isServable(need()) && gateway.tryRetry(service.name())) {
      log.info("retry", field("after", run.server().id()), field("reason", reason));
      seekPlace();
    } else {
      end(reason);
    }
  }

  /** The stream of a run ended before its end. */
  void broken(StreamRun run, String reason) {
    if (isFinished() || run != current) {
      return;
    }
    current = null;
    excluded.add(run.server().id());
    log.info(
        "stream_broken",
        field("server", run.server().id()),
        field("reason", reason),
        field("last_event", lastEvent.isPresent() ? lastEvent.getAsLong() : "none"));
    continueElsewhere(run, reason);
  }

  private void continueElsewhere(StreamRun run, String reason) {
    Optional<KvCopies.Copy> copy = copies.poll(gateway.servers()::isUsable);
    if (copy.isPresent() && gateway.tryRetry(service.name())) {
      continueFrom(copy.get());
    } else if (mayRunAgain(run) && gateway.tryRetry(service.name())) {
      log.info("resumed", field("after", run.server().id()), field("reason", reason));
      seekPlace();
    } else {
      end(reason);
    }
  }

  private boolean mayRunAgain(StreamRun run) {
    excluded.add(run.server().id());
    return mayRunAgain();
  }

  /** Returns whether the stream can go on elsewhere without a copy of its present run. */
  boolean mayRunAgain() {
    return route.repetition().isRepeatable()
        && runs < route.maximumRuns()
        && gateway.placement().isServable(need());
  }

  KvCopies copies() {
    return copies;
  }

  /** Continues the run at the server that holds a copy of its memory. */
  private void continueFrom(KvCopies.Copy copy) {
    continuations++;
    gateway.metrics().continued(route.name());
    log.info(
        "continued",
        field("server", copy.holder().id()),
        field("handle", copy.continuation().handle()),
        field("last_event", lastEvent.isPresent() ? lastEvent.getAsLong() : "none"));
    start(copy.holder(), Optional.of(copy.continuation()));
  }

  private void end(String reason) {
    if (headWritten) {
      breakOff(reason);
    } else if (runs == 0) {
      refuse(reason);
    } else {
      failMayHaveRun(reason);
    }
  }

  /** Closes the connection, so that the answer does not look complete. */
  private void breakOff(String reason) {
    logStream("broken_off", reason);
    finish();
    incoming.connection().close();
  }

  @Override
  void cancel() {
    if (current != null) {
      current.abort();
      current = null;
    }
  }

  @Override
  void noPlace() {
    end("all servers are busy");
  }

  @Override
  void timedOut() {
    if (headWritten) {
      breakOff("the time limit is over");
    } else if (runs == 0) {
      refuse("no server within the time limit");
    } else {
      failTimeout("no event within the time limit");
    }
    cancel();
  }

  @Override
  void tick(Instant now) {
    if (current != null) {
      current.tick(now);
    }
  }
}
