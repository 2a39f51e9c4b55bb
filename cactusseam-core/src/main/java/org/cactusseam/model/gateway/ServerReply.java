package org.cactusseam.model.gateway;

import java.util.Optional;
import java.util.Set;

/**
 * Decoded status line and headers of a backend server's response.
 *
 * @param status HTTP status
 * @param statesNotRun whether the response states that a request has not run and will not run
 * @param signed whether the response carries a receipt, which only a run produces
 * @param attempt which attempt the response names
 * @param ofOtherServer whether the response names a server other than the expected one
 * @param statedPace pace that the response states; empty if it states none that is valid
 * @param statesLeaving whether the response states that its server leaves
 */
public record ServerReply(
    int status,
    boolean statesNotRun,
    boolean signed,
    NamedAttempt attempt,
    boolean ofOtherServer,
    Optional<ServerPace> statedPace,
    boolean statesLeaving) {

  /** Status of a server that is not the one to which the request is addressed. */
  public static final int STATUS_MISDIRECTED = 421;

  /** Statuses by which a caller is promised that its request has not run and will not run. */
  private static final Set<Integer> REFUSALS = Set.of(408, STATUS_MISDIRECTED, 429, 503);

  /** Attempt that a response names, compared with the one that was sent. */
  public enum NamedAttempt {
    /** The attempt that was sent. */
    SAME,
    /** Another attempt; the response answers a different request. */
    OTHER,
    /** None. */
    NONE
  }

  /**
   * Returns whether the server states that it has not run the request that was sent, and the
   * statement can be believed. It must name the attempt, because the statement about another
   * request says nothing about this one. A receipt contradicts it, and an interim response is no
   * answer. A server that has taken over the address of the expected one need not name the attempt:
   * it rejects every request that is addressed to the expected server.
   *
   * @return whether the request has not run and will not run
   */
  public boolean notRun() {
    return statesNotRun && !signed && !isInterim() && (namesAttempt() || isRejectedByOtherServer());
  }

  /**
   * Returns whether the response states that a request has not run, but cannot be believed. The
   * request that was sent may have run.
   *
   * @return whether the statement must be ignored
   */
  public boolean isIgnoredStatement() {
    return statesNotRun && !notRun();
  }

  private boolean namesAttempt() {
    return attempt == NamedAttempt.SAME;
  }

  private boolean isRejectedByOtherServer() {
    return status == STATUS_MISDIRECTED && attempt == NamedAttempt.NONE && ofOtherServer;
  }

  /**
   * Returns whether the response can be the answer to the request that was sent.
   *
   * @return whether it names the attempt that was sent, or none
   */
  public boolean answersAttempt() {
    return attempt != NamedAttempt.OTHER;
  }

  /**
   * Returns the pace of the server to which the request was sent. A response that names another
   * server, or answers another attempt, says nothing about that server at this moment.
   *
   * @return stated pace, or empty if the response states none of this server
   */
  public Optional<ServerPace> paceOfServer() {
    return ofOtherServer || !answersAttempt() ? Optional.empty() : statedPace;
  }

  /**
   * Returns whether the server to which the request was sent states that it leaves, and the
   * statement can be believed. It must stand in an answer to the attempt that was sent, so that
   * neither a late answer nor a server that has taken over the address takes another process out of
   * use, and a success must bear its receipt.
   *
   * @return whether the server wants no further requests
   */
  public boolean serverLeaves() {
    return statesLeaving
        && namesAttempt()
        && !ofOtherServer
        && status != STATUS_MISDIRECTED
        && !isInterim()
        && !isIgnoredStatement()
        && (signed || !isSuccess());
  }

  /**
   * Returns whether the response reports success.
   *
   * @return whether the status is 2xx
   */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }

  /**
   * Returns whether a caller understands a status as the promise that its request has not run.
   *
   * @param status HTTP status
   * @return whether the status is a refusal
   */
  public static boolean isRefusal(int status) {
    return REFUSALS.contains(status);
  }

  /**
   * Returns whether the response is an interim one (1xx). Such a response is no answer, and the
   * bytes after it cannot be attributed to a request.
   *
   * @return whether the status is below 200
   */
  public boolean isInterim() {
    return status < 200;
  }
}
