package org.cactusseam.edge.backend;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.cactusseam.model.admission.BackendCondition;

/** Names of the HTTP headers exchanged with callers and backend servers. */
public final class Headers {

  /** Id of a stream at an engine. */
  public static final String STREAM = "Cactusseam-Stream";

  /** Rank of the request's priority class; 0 is the most urgent. */
  public static final String PRIORITY = "Cactusseam-Priority";

  /** Fencing number of a request: the epoch of its permit. */
  public static final String FENCING_NUMBER = "Cactusseam-Fencing-Number";

  /** Id of the current run of a backend server; changes with each restart. */
  public static final String INCARNATION = "Cactusseam-Incarnation";

  /** Cache state of a backend server, {@code cold} or {@code warm}. */
  public static final String STATE = "Cactusseam-State";

  /** Present in a refusal if the backend server has not run the request. */
  public static final String NOT_RUN = "Cactusseam-Not-Run";

  /** Id of a request, in responses to callers and in requests to plain services. */
  public static final String REQUEST = "Cactusseam-Request";

  /** Encoded id of the generation, in responses to callers. */
  public static final String GENERATION = "Cactusseam-Generation";

  /** Time within which the response must begin, as set by the caller, in milliseconds. */
  public static final String DEADLINE = "Cactusseam-Deadline-Ms";

  /** Key that the caller repeats when it retries a request. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Id of the last event that the caller has received of the stream that it resumes. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  private Headers() {}

  /**
   * Reads the incarnation and cache state that a backend server reports in a response.
   *
   * @param headers headers of the response
   * @return the condition, or empty if the response names no incarnation
   */
  public static Optional<BackendCondition> condition(MultiMap headers) {
    return Optional.ofNullable(headers.get(INCARNATION))
        .map(run -> new BackendCondition(run, "cold".equals(headers.get(STATE))));
  }
}
