package org.cactusseam.model.message;

import org.cactusseam.model.AccountName;
import org.cactusseam.model.NodeName;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.RouteName;

/**
 * Summary of a request in progress, as operators query it.
 *
 * @param request identity of the request
 * @param node entry daemon that serves it
 * @param account client account
 * @param priorityClass priority class of the account
 * @param route route that the request matched
 * @param server name of the backend server that executes it; empty while it waits
 * @param state {@code waiting}, {@code sent} or {@code streaming}
 * @param tokens number of tokens delivered so far
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
