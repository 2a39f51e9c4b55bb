package org.cactusseam.model;

/**
 * Numbered results of requests and commands. They are part of the public interface and documented
 * in {@code docs/result-codes.md}, which a test compares with this type. Numbers are never reused.
 */
public enum ResultCode {
  /** The response was delivered completely. */
  OK(1000, 200, Execution.RAN),
  /** The stream is interrupted; the caller can resume it at any entry daemon. */
  RESUME_ELSEWHERE(1001, 200, Execution.RAN),
  /** The request is malformed. */
  MALFORMED_REQUEST(2001, 400, Execution.NOT_RUN),
  /** The request has no valid API key. */
  UNAUTHENTICATED(2002, 401, Execution.NOT_RUN),
  /** No route matches path and model. */
  UNKNOWN_ROUTE(2003, 404, Execution.NOT_RUN),
  /** The body or a header exceeds its size limit. */
  TOO_LARGE(2004, 413, Execution.NOT_RUN),
  /** The route needs an idempotency key that is a UUID of version 7. */
  IDEMPOTENCY_KEY_REQUIRED(2005, 400, Execution.NOT_RUN),
  /** The idempotency key is older than the window in which duplicates are detected. */
  IDEMPOTENCY_KEY_EXPIRED(2006, 409, Execution.MAY_HAVE_RUN),
  /** The generation is unknown, belongs to another account or has expired. */
  UNKNOWN_GENERATION(2007, 404, Execution.MAY_HAVE_RUN),
  /** The caller did not read the response for too long; it can resume the stream. */
  SLOW_READER(2008, 408, Execution.MAY_HAVE_RUN),
  /** An earlier request used the same idempotency key with another body or route. */
  IDEMPOTENCY_KEY_REUSED(2009, 422, Execution.NOT_RUN),
  /** No backend server can take the request before its deadline. */
  OVERLOADED(3001, 429, Execution.NOT_RUN),
  /** No backend server of the route is in service. */
  NO_BACKEND_SERVER(3002, 503, Execution.NOT_RUN),
  /** The owner of the admission shard did not answer, or the shard has no owner at the moment. */
  NO_ADMISSION(3003, 503, Execution.NOT_RUN),
  /** The entry daemon is shutting down; another one can serve the request. */
  SHUTTING_DOWN(3004, 503, Execution.NOT_RUN),
  /** The platform's log is unavailable, and the request must not run without it. */
  LOG_UNAVAILABLE(3005, 503, Execution.NOT_RUN),
  /** The entry daemon has no configuration yet. */
  NOT_READY(3006, 503, Execution.NOT_RUN),
  /** The deadline passed while the request waited. */
  DEADLINE_PASSED(3007, 504, Execution.NOT_RUN),
  /** Every attempt was rejected by backend servers or could not be sent. */
  BACKEND_UNAVAILABLE(3008, 503, Execution.NOT_RUN),
  /** Requests with this content crashed backend servers. */
  QUARANTINED(3009, 422, Execution.NOT_RUN),
  /** The entry daemon has no memory for the body, and has not read it. */
  MEMORY_EXHAUSTED(3010, 503, Execution.NOT_RUN),
  /** The backend server failed after it may have started the request. */
  BACKEND_FAILED(4001, 502, Execution.MAY_HAVE_RUN),
  /** The stream failed and cannot be resumed. */
  STREAM_LOST(4002, 502, Execution.MAY_HAVE_RUN),
  /** An earlier request with the same idempotency key is still running. */
  IN_PROGRESS(4003, 409, Execution.MAY_HAVE_RUN),
  /** An earlier request with the same idempotency key ran; its response is no longer stored. */
  ALREADY_RAN(4004, 409, Execution.RAN),
  /** An earlier request with the same idempotency key may have run. */
  OUTCOME_UNKNOWN(4005, 409, Execution.MAY_HAVE_RUN),
  /** The command is in force wherever it applies. */
  ACCEPTED(5000, 200, Execution.RAN),
  /** The command is recorded, and some nodes have not confirmed it. */
  RECORDED_WAITING(5001, 202, Execution.RAN),
  /**
   * The restriction is in force on the nodes that the response names, but not recorded in the log
   * yet.
   */
  IN_FORCE_NOT_RECORDED(5002, 202, Execution.RAN),
  /** Another operator changed the object first. */
  REVISION_CONFLICT(5003, 409, Execution.NOT_RUN),
  /** The command has a syntax error. */
  SYNTAX_ERROR(5004, 400, Execution.NOT_RUN),
  /** The command refers to an object that does not exist or would leave a dangling reference. */
  INVALID_COMMAND(5005, 422, Execution.NOT_RUN),
  /**
   * The log did not answer; the command may have been recorded. The operator can retry it with the
   * same identity.
   */
  COMMAND_UNCERTAIN(5006, 503, Execution.MAY_HAVE_RUN),
  /** The configuration already has the commanded state; nothing was recorded. */
  UNCHANGED(5007, 200, Execution.RAN),
  /** The daemon failed with an internal error. */
  INTERNAL_ERROR(9001, 500, Execution.MAY_HAVE_RUN);

  /** Whether a request was executed, as far as it is known. */
  public enum Execution {
    /** It ran. */
    RAN,
    /** It did not run and will not run. */
    NOT_RUN,
    /** It may have run or may still run. */
    MAY_HAVE_RUN
  }

  private final int number;
  private final int httpStatus;
  private final Execution execution;

  ResultCode(int number, int httpStatus, Execution execution) {
    this.number = number;
    this.httpStatus = httpStatus;
    this.execution = execution;
  }

  /**
   * Returns the number of this code.
   *
   * @return unique number, which is stable over releases
   */
  public int number() {
    return number;
  }

  /**
   * Returns the HTTP status of responses with this code.
   *
   * @return HTTP status code
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns whether a request with this result was executed.
   *
   * @return known state of its execution
   */
  public Execution execution() {
    return execution;
  }
}
