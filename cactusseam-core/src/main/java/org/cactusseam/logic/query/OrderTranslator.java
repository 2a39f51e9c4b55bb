package org.cactusseam.logic.query;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.UnaryOperator;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.control.ControlRecord;

/**
 * Translates an order into the record that carries it out. An order whose effect is already in
 * force gives no record, so that a file of declarations can be applied again without any change.
 */
public final class OrderTranslator {

  private final Configuration configuration;

  /**
   * Creates a translator.
   *
   * @param configuration configuration that orders are translated against
   */
  public OrderTranslator(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Translates an order.
   *
   * @param order order
   * @param commandId identity of the command
   * @param operator name of the operator's key
   * @return what is to be recorded
   */
  public OrderTranslation translate(
      Command.ConfigurationOrder order, String commandId, String operator) {
    OrderTranslation translation = revisionConflict(order).orElseGet(() -> translate(order));
    return translation instanceof OrderTranslation.Changes changes
        ? new OrderTranslation.Changes(identified(changes.change(), commandId, operator))
        : translation;
  }

  private static ControlRecord.Change identified(
      ControlRecord.Change change, String commandId, String operator) {
    return new ControlRecord.Change(
        commandId, change.key(), change.expectedRevision(), change.value(), operator);
  }

  private Optional<OrderTranslation> revisionConflict(Command.ConfigurationOrder order) {
    OptionalLong stated = order.revision();
    long current = currentRevision(order.key());
    if (stated.isEmpty() || stated.getAsLong() == current) {
      return Optional.empty();
    }
    String state =
        current == ControlRecord.ABSENT_REVISION ? "does not exist" : "has revision " + current;
    String message = CommandPrinter.object(order.key()) + " " + state;
    return Optional.of(new OrderTranslation.Refused(ResultCode.REVISION_CONFLICT, message));
  }

  private long currentRevision(ObjectKey key) {
    return configuration.find(key).isPresent()
        ? configuration.revision(key).orElseThrow()
        : ControlRecord.ABSENT_REVISION;
  }

  private OrderTranslation translate(Command.ConfigurationOrder order) {
    try {
      return switch (order) {
        case Command.Create create -> create(create);
        case Command.Change change ->
            existing(
                change.key(),
                object -> ConfigurationObjectFactory.change(object, change.attributes()));
        case Command.Remove remove -> remove(remove.key());
        case Command.SetService set ->
            existing(set.key(), object -> withState(object, set.state()));
      };
    } catch (IllegalArgumentException e) {
      // The model checks relations between attributes, such as the order of the limits.
      return invalid(String.valueOf(e.getMessage()));
    }
  }

  private OrderTranslation create(Command.Create create) {
    ConfigurationObject wanted =
        ConfigurationObjectFactory.create(create.name(), create.attributes());
    Optional<ConfigurationObject> present = configuration.find(create.key());
    if (present.isEmpty()) {
      return store(create.key(), wanted);
    }
    // Service state is not an attribute: a domain that was taken out still is as declared.
    ConfigurationObject inService = withState(present.get(), ServiceState.IN);
    String object = CommandPrinter.object(create.key());
    return inService.equals(wanted)
        ? new OrderTranslation.Unchanged(object + " exists as stated")
        : invalid(object + " exists with other attributes; use 'change'");
  }

  private static ConfigurationObject withState(ConfigurationObject object, ServiceState state) {
    return switch (object) {
      case FailureDomain domain -> domain.withState(state);
      case BackendServer server -> server.withState(state);
      default -> object;
    };
  }

  private OrderTranslation existing(ObjectKey key, UnaryOperator<ConfigurationObject> change) {
    Optional<ConfigurationObject> present = configuration.find(key);
    if (present.isEmpty()) {
      return invalid(CommandPrinter.object(key) + " does not exist");
    }
    ConfigurationObject wanted = change.apply(present.get());
    return wanted.equals(present.get())
        ? new OrderTranslation.Unchanged(CommandPrinter.object(key) + " is already as stated")
        : store(key, wanted);
  }

  private OrderTranslation remove(ObjectKey key) {
    String object = CommandPrinter.object(key);
    if (configuration.find(key).isPresent()) {
      return References.blockedRemoval(configuration, key)
          .<OrderTranslation>map(OrderTranslator::invalid)
          .orElseGet(() -> record(key, Optional.empty()));
    }
    // The revision of a removed object stays known, so a repeated removal differs from a wrong
    // name.
    return configuration.revision(key).isPresent()
        ? new OrderTranslation.Unchanged(object + " is already removed")
        : invalid(object + " does not exist");
  }

  private OrderTranslation store(ObjectKey key, ConfigurationObject value) {
    return References.missing(configuration, value)
        .<OrderTranslation>map(OrderTranslator::invalid)
        .orElseGet(() -> record(key, Optional.of(value)));
  }

  private OrderTranslation record(ObjectKey key, Optional<ConfigurationObject> value) {
    return new OrderTranslation.Changes(
        new ControlRecord.Change("", key, currentRevision(key), value, ""));
  }

  private static OrderTranslation invalid(String message) {
    return new OrderTranslation.Refused(ResultCode.INVALID_COMMAND, message);
  }
}
