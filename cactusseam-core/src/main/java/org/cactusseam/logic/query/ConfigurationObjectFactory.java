package org.cactusseam.logic.query;

import java.util.Optional;
import org.cactusseam.model.AccountName;
import org.cactusseam.model.BackendKind;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.BackendServerName;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.FailureDomainName;
import org.cactusseam.model.PriorityClass;
import org.cactusseam.model.PriorityClassName;
import org.cactusseam.model.Route;
import org.cactusseam.model.RouteName;
import org.cactusseam.model.ServiceState;

/** Creates and changes configuration objects according to the attributes of a command. */
final class ConfigurationObjectFactory {

  private ConfigurationObjectFactory() {}

  /**
   * Creates an object. New failure domains and backend servers are in service.
   *
   * @param name name of the object
   * @param attributes attributes, including all required ones
   * @return new object
   * @throws IllegalArgumentException if the attributes are inconsistent
   */
  static ConfigurationObject create(String name, Attributes attributes) {
    return switch (attributes) {
      case Attributes.OfClass of ->
          new PriorityClass(
              new PriorityClassName(name), of.rank().orElseThrow(), of.mayWait().orElse(false));
      case Attributes.OfAccount of ->
          new ClientAccount(
              new AccountName(name),
              of.priorityClass().orElseThrow(),
              of.share().orElseThrow(),
              of.keyHashes());
      case Attributes.OfRoute of ->
          new Route(
              new RouteName(name),
              of.path().orElseThrow(),
              of.model(),
              of.pool().orElseThrow(),
              of.protocol().orElseThrow(),
              of.repeatable().orElseThrow(),
              (int) of.deadline().orElseThrow().toMillis());
      case Attributes.OfDomain of ->
          new FailureDomain(
              new FailureDomainName(name), of.region().orElseThrow(), ServiceState.IN);
      case Attributes.OfServer of -> createServer(name, of);
    };
  }

  private static BackendServer createServer(String name, Attributes.OfServer of) {
    Address address = of.address().orElseThrow();
    return requireEngineMemory(
        new BackendServer(
            new BackendServerName(name),
            of.pool().orElseThrow(),
            of.domain().orElseThrow(),
            of.protocol().orElseThrow(),
            address.host(),
            address.port(),
            of.checksFencing().orElseThrow(),
            of.coldLimit().orElseThrow(),
            of.warmLimit().orElseThrow(),
            of.memoryTokens().orElse(0L),
            ServiceState.IN,
            of.version().orElse("")));
  }

  private static BackendServer requireEngineMemory(BackendServer server) {
    if (server.kind() == BackendKind.ENGINE && server.memoryTokens() == 0) {
      // Without it, admission cannot estimate whether a request fits into the KV cache.
      throw new IllegalArgumentException("an engine needs 'memory' with at least 1 token");
    }
    return server;
  }

  /**
   * Creates a changed copy of an object. Attributes that are not specified keep their values.
   *
   * @param object object of the kind to which the attributes belong
   * @param attributes attributes to change
   * @return changed copy
   * @throws IllegalArgumentException if the resulting attributes are inconsistent
   */
  static ConfigurationObject change(ConfigurationObject object, Attributes attributes) {
    return switch (attributes) {
      case Attributes.OfClass of -> change((PriorityClass) object, of);
      case Attributes.OfAccount of -> change((ClientAccount) object, of);
      case Attributes.OfRoute of -> change((Route) object, of);
      case Attributes.OfDomain of -> change((FailureDomain) object, of);
      case Attributes.OfServer of -> change((BackendServer) object, of);
    };
  }

  private static PriorityClass change(PriorityClass old, Attributes.OfClass of) {
    return new PriorityClass(
        old.name(), of.rank().orElse(old.rank()), of.mayWait().orElse(old.mayWait()));
  }

  private static ClientAccount change(ClientAccount old, Attributes.OfAccount of) {
    return new ClientAccount(
        old.name(),
        of.priorityClass().orElse(old.priorityClass()),
        of.share().orElse(old.share()),
        of.keyHashes().isEmpty() ? old.keyHashes() : of.keyHashes());
  }

  private static Route change(Route old, Attributes.OfRoute of) {
    return new Route(
        old.name(),
        of.path().orElse(old.path()),
        of.model().or(old::model),
        of.pool().orElse(old.pool()),
        of.protocol().orElse(old.kind()),
        of.repeatable().orElse(old.repeatable()),
        of.deadline().map(deadline -> (int) deadline.toMillis()).orElse(old.deadlineMillis()));
  }

  private static FailureDomain change(FailureDomain old, Attributes.OfDomain of) {
    return new FailureDomain(old.name(), of.region().orElse(old.region()), old.state());
  }

  private static BackendServer change(BackendServer old, Attributes.OfServer of) {
    Optional<Address> address = of.address();
    return requireEngineMemory(
        new BackendServer(
            old.name(),
            of.pool().orElse(old.pool()),
            of.domain().orElse(old.domain()),
            of.protocol().orElse(old.kind()),
            address.map(Address::host).orElse(old.host()),
            address.map(Address::port).orElse(old.port()),
            of.checksFencing().orElse(old.checksFencing()),
            of.coldLimit().orElse(old.coldLimit()),
            of.warmLimit().orElse(old.warmLimit()),
            of.memoryTokens().orElse(old.memoryTokens()),
            old.state(),
            of.version().orElse(old.version())));
  }
}
