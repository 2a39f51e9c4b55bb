package org.cactusseam.logic.quarantine;

import java.time.Duration;

/**
 * Evidence that quarantines a cause of crashes.
 *
 * @param crashes number of crashes that the cause must have in common if the server had started to
 *     answer the requests
 * @param unstartedCrashes number of crashes if it is not known of all that the server had started
 * @param additionalRepeatedCrashes number of crashes required in addition if other suspects were in
 *     several of them too; only if {@code combined}
 * @param separation crashes that become known within this time count once, because servers that
 *     fail together, such as those of a failure domain, do not fail because of a request
 * @param settling time after which a crash counts, so that the reports and the clearings of all
 *     other VMs have arrived
 * @param vouching a request that was answered within this time before a crash has not caused it;
 *     zero if only later answers count
 * @param combined whether requests have several fingerprints, so that a cause may be known only as
 *     a combination of them
 */
public record ConvictionPolicy(
    int crashes,
    int unstartedCrashes,
    int additionalRepeatedCrashes,
    Duration separation,
    Duration settling,
    Duration vouching,
    boolean combined) {

  /**
   * For requests with one fingerprint, on daemons that know all requests on a server and keep
   * suspects apart: the second crash proves the cause.
   */
  public static final ConvictionPolicy WHOLE_REQUESTS =
      new ConvictionPolicy(2, 2, 0, Duration.ZERO, Duration.ZERO, Duration.ZERO, false);

  /**
   * For requests with several fingerprints, on gateways that neither know all requests on a server
   * nor keep suspects apart. An uncommon part of a prompt may meet two crashes of other causes; a
   * third one, without any answer to a request with that part in between, is unlikely. Requests
   * that wait on a server when it crashes are there by chance more often, so they need more
   * crashes. A common part is vouched for by the answers of the last seconds. Servers that fail
   * together become known within some 50 ms.
   */
  public static final ConvictionPolicy REQUEST_PARTS =
      new ConvictionPolicy(
          3, 5, 2, Duration.ofMillis(300), Duration.ofMillis(400), Duration.ofSeconds(4), true);
}
