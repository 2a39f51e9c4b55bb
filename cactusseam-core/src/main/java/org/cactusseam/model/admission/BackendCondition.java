package org.cactusseam.model.admission;

/**
 * What a backend server says of itself in the head of each response.
 *
 * @param incarnation identity of the server's run; another one means that it restarted
 * @param cold whether it is in cold start
 */
public record BackendCondition(String incarnation, boolean cold) {}
