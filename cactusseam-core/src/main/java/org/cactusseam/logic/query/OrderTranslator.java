package org.cactusseam.logic.query;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.PoolRollout;
import org.cactusseam.model.ResultCode;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.control.ControlRecord;

/**
 * Translates a configuration order into the control record that applies it. An order that is
 * already in effect results in no record, so that a file of declarations can be applied repeatedly
 * (idempotent).
 */
public final class OrderTranslator {

  private final Configuration configuration;

  /**
   * Creates a translator.
   *
   * @param configuration current configuration, against which orders are validated
   */
  public OrderTranslator(Configuration configuration) {
    this.configuration = configuration;
  }

  /**
   * Translates an order.
   *
   * @param order order to translate
   * @param commandId identity of the command
   * @param operator name of the operator's key
   * @return record to append, or the reason why none is needed or possible
   */
  public OrderTranslation translate(
      Command.ConfigurationOrder order, String commandId, String operator) {
    OrderTranslation translation = revisionConflict(order).orElseGet(() -> translate(order));
    return translation instanceof OrderTranslation.Changes changes
        ? new OrderTranslation.Changes(withOrigin(changes.change(), commandId, operator))
        : translation;
  }

  private static ControlRecord.Change withOrigin(
      ControlRecord.Change change, String commandId, String operator) {
    return new ControlRecord.Change(
        commandId, change.key(), change.expectedRevision(), change.value(), operator);
  }

  private Optional<OrderTranslation> revisionConflict(Command.ConfigurationOrder order) {
    OptionalLong specified = order.revision();
    long current = currentRevision(order.key());
    if (specified.isEmpty() || specified.getAsLong() == current) {
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
            changeExisting(
                change.key(),
                object -> ConfigurationObjectFactory.change(object, change.attributes()));
        case Command.Remove remove -> remove(remove.key());
        case Command.Roll roll -> translated(roll.key(), RolloutOrders.start(configuration, roll));
        case Command.ChangeRollout change ->
            translated(change.key(), RolloutOrders.change(configuration, change));
        case Command.SetService set ->
            changeExisting(set.key(), object -> withState(object, set.state()));
      };
    } catch (IllegalArgumentException e) {
      // The constructors of the configuration objects validate relations between attributes, such
      // as cold limit <= warm limit.
      return invalid(String.valueOf(e.getMessage()));
    }
  }

  private OrderTranslation create(Command.Create create) {
    ConfigurationObject desired =
        ConfigurationObjectFactory.create(create.name(), create.attributes());
    Optional<ConfigurationObject> present = configuration.find(create.key());
    if (present.isEmpty()) {
      return store(create.key(), desired);
    }
    // The service state is not an attribute: a domain that was taken out of service still matches
    // its declaration.
    ConfigurationObject inService = withState(present.get(), ServiceState.IN);
    String object = CommandPrinter.object(create.key());
    return inService.equals(desired)
        ? new OrderTranslation.Unchanged(object + " already exists with these attributes")
        : invalid(object + " exists with other attributes; use 'change'");
  }

  private static ConfigurationObject withState(ConfigurationObject object, ServiceState state) {
    return switch (object) {
      case FailureDomain domain -> domain.withState(state);
      case BackendServer server -> server.withState(state);
      default -> object;
    };
  }

  private OrderTranslation changeExisting(
      ObjectKey key, UnaryOperator<ConfigurationObject> change) {
    Optional<ConfigurationObject> present = configuration.find(key);
    if (present.isEmpty()) {
      return invalid(CommandPrinter.object(key) + " does not exist");
    }
    ConfigurationObject desired = change.apply(present.get());
    return desired.equals(present.get())
        ? new OrderTranslation.Unchanged(
            CommandPrinter.object(key) + " is already in the requested state")
        : store(key, desired);
  }

  private OrderTranslation translated(ObjectKey key, Either<OrderTranslation, PoolRollout> result) {
    return result.fold(Function.identity(), rollout -> record(key, Optional.of(rollout)));
  }

  private OrderTranslation remove(ObjectKey key) {
    String object = CommandPrinter.object(key);
    if (configuration.find(key).isPresent()) {
      return References.findReferrer(configuration, key)
          .<OrderTranslation>map(OrderTranslator::invalid)
          .orElseGet(() -> record(key, Optional.empty()));
    }
    // The revision of a removed object is retained, which distinguishes a repeated removal from a
    // wrong name.
    return configuration.revision(key).isPresent()
        ? new OrderTranslation.Unchanged(object + " is already removed")
        : invalid(object + " does not exist");
  }

  private OrderTranslation store(ObjectKey key, ConfigurationObject value) {
    return References.findMissingReference(configuration, value)
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
