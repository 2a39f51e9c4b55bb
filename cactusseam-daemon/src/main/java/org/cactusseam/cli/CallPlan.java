package org.cactusseam.cli;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Request of a call, and how the call handles broken connections.
 *
 * @param servers URLs of entry daemons; a call fails over to the next one when a connection breaks
 * @param key API key of the client account
 * @param path path of the HTTP request
 * @param body JSON body of the HTTP request
 * @param deadline deadline of the request, relative to its arrival
 * @param idempotencyKey idempotency key of the request
 * @param maxResumes maximum number of failovers to another daemon
 * @param idleTimeout time without data after which a connection is treated as broken
 */
record CallPlan(
    List<URI> servers,
    String key,
    String path,
    String body,
    Optional<Duration> deadline,
    Optional<String> idempotencyKey,
    int maxResumes,
    Duration idleTimeout) {

  CallPlan {
    servers = List.copyOf(servers);
  }

  @Override
  public String toString() {
    return "CallPlan[servers=" + servers + ", path=" + path + ", key=***]";
  }
}
