package org.cactusseam.edge.control;

import java.time.Duration;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.admission.AdmissionSettings;
import org.cactusseam.logic.membership.MembershipSettings;
import org.cactusseam.model.admission.Permit;

/** Settings of the core's state machines, as the settings of the daemon give them. */
final class CoreSettings {

  private CoreSettings() {}

  /**
   * Returns the times of membership and leases. Lease, validity and margin are the same in every
   * deployment, because all nodes must use the same.
   *
   * @param settings settings of the daemon
   * @return settings of membership
   */
  static MembershipSettings membership(Settings settings) {
    MembershipSettings standard = MembershipSettings.DEFAULT;
    return new MembershipSettings(
        standard.lease(),
        Duration.ofMillis(Permit.VALIDITY_MILLIS),
        standard.driftMargin(),
        standard.failureDetectionTimeout(),
        settings.platform().vmListLag(),
        standard.pingInterval(),
        standard.appendRetryInterval(),
        standard.monitoredMembers(),
        standard.fullMeshMaxMembers());
  }

  /**
   * Returns the values of admission.
   *
   * @param settings settings of the daemon
   * @return settings of admission
   */
  static AdmissionSettings admission(Settings settings) {
    return switch (settings.admission().preset()) {
      case ZOPFWERK -> AdmissionSettings.zopfwerk();
      case FLAGLINE -> AdmissionSettings.flagline();
    };
  }
}
