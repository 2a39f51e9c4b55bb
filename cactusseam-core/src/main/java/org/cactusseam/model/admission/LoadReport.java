package org.cactusseam.model.admission;

/**
 * Load that a backend server reports. A report can be older than other information on the server.
 *
 * @param condition incarnation and cold-start state
 * @param running number of requests that the server runs
 * @param waiting number of requests that wait inside the server
 * @param memoryUsedTokens engine memory in use, in tokens
 * @param memoryTotalTokens total engine memory, in tokens
 * @param preemptions number of preemptions since the server started
 */
public record LoadReport(
    BackendCondition condition,
    int running,
    int waiting,
    long memoryUsedTokens,
    long memoryTotalTokens,
    long preemptions) {}
