package org.cactusseam.model;

/**
 * A set of VMs and backend servers that fail together.
 *
 * @param name name
 * @param region region that holds the failure domain
 * @param state whether new work may be sent to its backend servers
 */
public record FailureDomain(FailureDomainName name, RegionName region, ServiceState state)
    implements ConfigurationObject {

  /**
   * Returns a copy in another state.
   *
   * @param newState state of the copy
   * @return the copy
   */
  public FailureDomain withState(ServiceState newState) {
    return new FailureDomain(name, region, newState);
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.FAILURE_DOMAIN, name.value());
  }
}
