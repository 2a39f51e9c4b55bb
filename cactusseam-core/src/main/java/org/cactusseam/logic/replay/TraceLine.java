package org.cactusseam.logic.replay;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** One line of a recorded trace. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TraceLine.Request.class, name = "request"),
  @JsonSubTypes.Type(value = TraceLine.DomainOut.class, name = "domain_out"),
  @JsonSubTypes.Type(value = TraceLine.DomainIn.class, name = "domain_in"),
  @JsonSubTypes.Type(value = TraceLine.ServerCold.class, name = "server_cold")
})
public sealed interface TraceLine {

  /**
   * Returns the time of the line.
   *
   * @return milliseconds since the start of the trace
   */
  long atMillis();

  /**
   * A caller sends a request.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param account client account
   * @param priorityClass class of the account
   * @param route route
   * @param region region of the entry daemon that receives it
   * @param promptTokens length of the prompt
   * @param prefix hashes of the prompt's leading blocks, shortest prefix first
   * @param outputTokens length of the answer, which admission does not see
   * @param repeatable whether it may run more than once
   * @param beginMillis time within which the first token counts as begun in time
   * @param deadlineMillis time until the caller's deadline for the whole answer
   * @param rare whether it belongs to the burst of an account that rarely uses its share
   */
  record Request(
      long atMillis,
      String account,
      String priorityClass,
      String route,
      String region,
      int promptTokens,
      List<Long> prefix,
      int outputTokens,
      boolean repeatable,
      long beginMillis,
      long deadlineMillis,
      boolean rare)
      implements TraceLine {

    /** Copies the list. */
    public Request {
      prefix = List.copyOf(prefix);
    }
  }

  /**
   * Operators take a failure domain out of service.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param domain failure domain
   */
  record DomainOut(long atMillis, String domain) implements TraceLine {}

  /**
   * Operators bring a failure domain back; its backend servers are cold.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param domain failure domain
   */
  record DomainIn(long atMillis, String domain) implements TraceLine {}

  /**
   * A backend server becomes cold without warning.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param server backend server
   */
  record ServerCold(long atMillis, String server) implements TraceLine {}
}
