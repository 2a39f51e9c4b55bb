package org.cactusseam.edge.gateway;

import com.google.common.hash.Hashing;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cactusseam.edge.client.BodyReader;
import org.cactusseam.model.gateway.CallerRequest;
import org.cactusseam.model.gateway.GatewayAccount;

/** Fingerprints by which a request that crashes servers is recognised. */
final class RequestFingerprints {

  private static final String WHOLE = "request:";

  private final HttpServerRequest incoming;
  private final Buffer body;
  private final CallerRequest head;
  private final Optional<GatewayAccount> account;
  private Set<String> all = Set.of();

  RequestFingerprints(
      HttpServerRequest incoming,
      Buffer body,
      CallerRequest head,
      Optional<GatewayAccount> account) {
    this.incoming = incoming;
    this.body = body;
    this.head = head;
    this.account = account;
  }

  /** Returns whether a fingerprint is that of a request as a whole. */
  static boolean isWhole(String fingerprint) {
    return fingerprint.startsWith(WHOLE);
  }

  /** Returns the fingerprints of the prompt parts that the request shares with others. */
  Set<String> ofParts() {
    return head.sharedPromptParts().stream()
        .map(part -> "part:" + part)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the fingerprints of the request as a whole and of the prompt parts that it shares. */
  Set<String> all() {
    if (all.isEmpty()) {
      Set<String> computed = new HashSet<>(ofParts());
      computed.add(
          WHOLE
              + BodyReader.hash(
                  body,
                  Hashing.murmur3_128()
                      .newHasher()
                      .putUnencodedChars(account.map(GatewayAccount::name).orElse(""))
                      .putUnencodedChars("\n" + incoming.method() + " " + incoming.uri() + "\n")));
      all = Set.copyOf(computed);
    }
    return all;
  }
}
