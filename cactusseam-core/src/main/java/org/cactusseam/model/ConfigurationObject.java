package org.cactusseam.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A configuration object that operators create, change and remove. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ClientAccount.class, name = "account"),
  @JsonSubTypes.Type(value = PriorityClass.class, name = "class"),
  @JsonSubTypes.Type(value = Route.class, name = "route"),
  @JsonSubTypes.Type(value = FailureDomain.class, name = "domain"),
  @JsonSubTypes.Type(value = BackendServer.class, name = "server"),
  @JsonSubTypes.Type(value = PoolRollout.class, name = "roll-out")
})
public sealed interface ConfigurationObject
    permits ClientAccount, PriorityClass, Route, FailureDomain, BackendServer, PoolRollout {

  /**
   * Returns the identity of this object.
   *
   * @return kind and name
   */
  @JsonIgnore
  ObjectKey key();
}
