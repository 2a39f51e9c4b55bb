package org.cactusseam.model.admission;

/**
 * Lagged report of a backend server on its load.
 *
 * @param condition incarnation and state
 * @param running requests that it runs
 * @param waiting requests that wait inside the server
 * @param memoryUsedTokens engine memory in use, in tokens
 * @param memoryTotalTokens engine memory, in tokens
 * @param preemptions requests preempted since the server started
 */
public record LoadReport(
    BackendCondition condition,
    int running,
    int waiting,
    long memoryUsedTokens,
    long memoryTotalTokens,
    long preemptions) {}
