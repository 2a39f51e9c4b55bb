package org.cactusseam.model;

/**
 * A set of VMs and backend servers that may fail together.
 *
 * @param name name of the failure domain
 * @param region region that holds the failure domain
 * @param state whether new work may be sent to its backend servers
 */
public record FailureDomain(FailureDomainName name, RegionName region, ServiceState state)
    implements ConfigurationObject {

  /**
   * Returns a copy in another service state.
   *
   * @param newState service state of the copy
   * @return changed copy
   */
  public FailureDomain withState(ServiceState newState) {
    return new FailureDomain(name, region, newState);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.FAILURE_DOMAIN, name.value());
  }
}
