package org.cactusseam.edge.control;

import java.time.Duration;
import org.cactusseam.edge.settings.Settings;
import org.cactusseam.logic.admission.AdmissionSettings;
import org.cactusseam.logic.membership.MembershipSettings;
import org.cactusseam.model.admission.Permit;

/**
 * Derives the settings of the state machines in {@code org.cactusseam.logic} from the settings of
 * the daemon.
 */
final class CoreSettings {

  private CoreSettings() {}

  /**
   * Returns the settings of membership and leases. The lease, the validity of permits and the
   * margin for clock drift cannot be configured, because all VMs have to use the same values.
   *
   * @param settings settings of the daemon
   * @return settings of membership
   */
  static MembershipSettings membership(Settings settings) {
    MembershipSettings defaults = MembershipSettings.DEFAULT;
    return new MembershipSettings(
        defaults.lease(),
        Duration.ofMillis(Permit.VALIDITY_MILLIS),
        defaults.driftMargin(),
        defaults.failureDetectionTimeout(),
        settings.platform().vmListLag(),
        defaults.pingInterval(),
        defaults.appendRetryInterval(),
        defaults.monitoredMembers(),
        defaults.fullMeshMaxMembers());
  }

  /**
   * Returns the settings of admission for the configured preset.
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
