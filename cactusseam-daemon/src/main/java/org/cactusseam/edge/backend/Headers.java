package org.cactusseam.edge.backend;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.cactusseam.model.admission.BackendCondition;

/** Names of the HTTP headers that this project adds, towards callers and backend servers. */
public final class Headers {

  /** Identity of a stream at an engine. */
  public static final String STREAM = "Cactusseam-Stream";

  /** Rank of the request's priority class; 0 is the most urgent. */
  public static final String PRIORITY = "Cactusseam-Priority";

  /** Epoch of the permit. */
  public static final String FENCING_NUMBER = "Cactusseam-Fencing-Number";

  /** Run of a backend server. */
  public static final String INCARNATION = "Cactusseam-Incarnation";

  /** State of a backend server, {@code cold} or {@code warm}. */
  public static final String STATE = "Cactusseam-State";

  /** Present in a refusal of a backend server that did not run the request. */
  public static final String NOT_RUN = "Cactusseam-Not-Run";

  /** Identity of a request, in answers to callers. */
  public static final String REQUEST = "Cactusseam-Request";

  /** Identity of the generation, in answers to callers. */
  public static final String GENERATION = "Cactusseam-Generation";

  /** Time in which the caller wants the answer to begin, in milliseconds. */
  public static final String DEADLINE = "Cactusseam-Deadline-Ms";

  /** Key under which the caller repeats a request. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Position after which the caller resumes a stream. */
  public static final String LAST_EVENT_ID = "Last-Event-ID";

  private Headers() {}

  /**
   * Reads what a backend server says of itself.
   *
   * @param headers headers of a response
   * @return the condition, or empty if the server does not state it
   */
  public static Optional<BackendCondition> condition(MultiMap headers) {
    return Optional.ofNullable(headers.get(INCARNATION))
        .map(run -> new BackendCondition(run, "cold".equals(headers.get(STATE))));
  }
}
