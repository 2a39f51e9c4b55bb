package org.cactusseam.cli;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What a call sends and how it deals with broken connections.
 *
 * @param servers URLs of entry daemons; a call moves to the next one when a connection breaks
 * @param key key of the client account
 * @param path path of the request
 * @param body JSON body
 * @param deadline deadline of the request
 * @param idempotencyKey idempotency key
 * @param greatestResumes how often a call may move to another daemon
 * @param idleTimeout time without data after which a connection counts as broken
 */
record CallPlan(
    List<URI> servers,
    String key,
    String path,
    String body,
    Optional<Duration> deadline,
    Optional<String> idempotencyKey,
    int greatestResumes,
    Duration idleTimeout) {

  CallPlan {
    servers = List.copyOf(servers);
  }

  @Override
  public String toString() {
    return "CallPlan[servers=" + servers + ", path=" + path + ", key=***]";
  }
}
