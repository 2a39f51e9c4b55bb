package org.cactusseam.logic.replay;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** One line of a trace: a request, or a change of the deployment. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TraceLine.Request.class, name = "request"),
  @JsonSubTypes.Type(value = TraceLine.DomainOut.class, name = "domain_out"),
  @JsonSubTypes.Type(value = TraceLine.DomainIn.class, name = "domain_in"),
  @JsonSubTypes.Type(value = TraceLine.ServerCold.class, name = "server_cold")
})
public sealed interface TraceLine {

  /**
   * Returns the time at which the line takes effect.
   *
   * @return milliseconds since the start of the trace
   */
  long atMillis();

  /**
   * A caller sends a request.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param account name of the client account
   * @param priorityClass name of the priority class of the account
   * @param route name of the route
   * @param region region of the entry daemon that receives it
   * @param promptTokens prompt length in tokens
   * @param prefix hashes of the leading blocks of the prompt, in prompt order
   * @param outputTokens output length in tokens, which admission does not know
   * @param repeatable whether it may run more than once
   * @param beginMillis time from arrival within which the first token must arrive for the request
   *     to count as started on time
   * @param deadlineMillis time from arrival to the deadline of the complete response
   * @param rare whether it belongs to the burst of the account that is otherwise idle
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

    /** Makes a defensive copy of the hashes. */
    public Request {
      prefix = List.copyOf(prefix);
    }
  }

  /**
   * An operator takes a failure domain out of service.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param domain name of the failure domain
   */
  record DomainOut(long atMillis, String domain) implements TraceLine {}

  /**
   * An operator returns a failure domain to service; its backend servers are cold.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param domain name of the failure domain
   */
  record DomainIn(long atMillis, String domain) implements TraceLine {}

  /**
   * A backend server becomes cold without prior notice.
   *
   * @param atMillis milliseconds since the start of the trace
   * @param server name of the backend server
   */
  record ServerCold(long atMillis, String server) implements TraceLine {}
}
