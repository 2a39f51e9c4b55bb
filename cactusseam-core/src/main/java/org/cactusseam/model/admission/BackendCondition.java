package org.cactusseam.model.admission;

/**
 * State that a backend server reports about itself in the head of each response.
 *
 * @param incarnation identity of the server's process run; a different one means that the server
 *     restarted
 * @param cold whether the server is in its cold start
 */
public record BackendCondition(String incarnation, boolean cold) {}
