package org.cactusseam.logic.query;

import java.util.Optional;
import java.util.stream.Stream;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.ClientAccount;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.ObjectKey;

/**
 * Checks the references between configuration objects: accounts refer to priority classes, and
 * backend servers refer to failure domains.
 */
public final class References {

  private References() {}

  /**
   * Finds a reference of an object to another object that does not exist.
   *
   * @param configuration current configuration
   * @param object object to add or replace
   * @return message that names the missing object, or empty if all references are valid
   */
  public static Optional<String> findMissingReference(
      Configuration configuration, ConfigurationObject object) {
    return switch (object) {
      case ClientAccount account
          when configuration.priorityClass(account.priorityClass()).isEmpty() ->
          Optional.of("class " + account.priorityClass() + " does not exist");
      case BackendServer server when configuration.domain(server.domain()).isEmpty() ->
          Optional.of("domain " + server.domain() + " does not exist");
      default -> Optional.empty();
    };
  }

  /**
   * Finds an object that refers to an object to be removed.
   *
   * @param configuration current configuration
   * @param key object to remove
   * @return message that names a referring object, or empty if the object can be removed
   */
  public static Optional<String> findReferrer(Configuration configuration, ObjectKey key) {
    Stream<? extends ConfigurationObject> users =
        switch (key.kind()) {
          case PRIORITY_CLASS ->
              configuration.all(ClientAccount.class).stream()
                  .filter(account -> account.priorityClass().value().equals(key.name()));
          case FAILURE_DOMAIN ->
              configuration.all(BackendServer.class).stream()
                  .filter(server -> server.domain().value().equals(key.name()));
          case ACCOUNT, ROUTE, BACKEND_SERVER, POOL_ROLLOUT -> Stream.empty();
        };
    return users
        .findFirst()
        .map(
            user ->
                CommandPrinter.object(key) + " is used by " + CommandPrinter.object(user.key()));
  }
}
