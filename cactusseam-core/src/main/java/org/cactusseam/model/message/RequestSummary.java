package org.cactusseam.model.message;

import org.cactusseam.model.AccountName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RouteName;

/**
 * What operators see of a request.
 *
 * @param request identity of the request
 * @param node entry daemon that serves it
 * @param account client account
 * @param priorityClass class of the account
 * @param route route
 * @param server backend server that runs it, or an empty text while it waits
 * @param state {@code waiting}, {@code sent} or {@code streaming}
 * @param tokens tokens delivered so far
 * @param ageMillis time since it arrived, in milliseconds
 */
public record RequestSummary(
    String request,
    NodeName node,
    AccountName account,
    PriorityClassName priorityClass,
    RouteName route,
    String server,
    String state,
    long tokens,
    long ageMillis) {}
