package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.standin.InvalidInputException;

/**
 * Holds the models, adapters, versions and the role of an engine, and applies orders that change
 * them.
 */
final class EngineInventory {

  private final EngineOptions options;
  private final Set<String> models = new LinkedHashSet<>();
  private final Set<String> adapters = new LinkedHashSet<>();
  private final Set<String> versions = new LinkedHashSet<>();
  private final Map<Integer, Order> inProgress = new LinkedHashMap<>();
  private String role;
  private int lastHandle;
  private int applied;

  /** Kinds of orders; the protocol uses their names in lower case. */
  enum Kind {
    LOAD_MODEL,
    LOAD_ADAPTER,
    LOAD_VERSION,
    CHANGE_ROLE;

    static Kind parse(String text) {
      return Arrays.stream(values())
          .filter(kind -> kind.name().toLowerCase(Locale.ROOT).equals(text))
          .findFirst()
          .orElseThrow(() -> new InvalidInputException("unknown kind of order: " + text));
    }
  }

  /**
   * An order as it is received.
   *
   * @param order name of its {@link Kind} in lower case
   * @param name model, adapter or version to load, or the new role
   * @param fencingNumber number that orders the senders; the engine refuses lower ones than it has
   *     seen
   */
  record Order(String order, String name, long fencingNumber) {}

  EngineInventory(EngineOptions options) {
    this.options = options;
    role = options.role();
    models.addAll(options.modelNames());
  }

  /**
   * Restores the state of the start, as a restart does. The number of applied orders is kept,
   * because tests compare it across crashes.
   */
  void clear() {
    models.clear();
    models.addAll(options.modelNames());
    adapters.clear();
    versions.clear();
    role = options.role();
    inProgress.clear();
  }

  boolean serves(String model) {
    return options.modelNames().isEmpty() || models.contains(model);
  }

  /** Marks an order as in progress and returns a handle for {@link #finish}. */
  int begin(Order order) {
    inProgress.put(++lastHandle, order);
    return lastHandle;
  }

  /**
   * Applies an order and removes it from those in progress, in one step. Has no effect if the order
   * was discarded by {@link #clear}.
   */
  void finish(int handle) {
    Optional<Order> order = Optional.ofNullable(inProgress.remove(handle));
    order.ifPresent(found -> apply(Kind.parse(found.order()), found.name()));
  }

  private void apply(Kind kind, String name) {
    applied++;
    Optional<Set<String>> loadedNames = namesOf(kind);
    if (loadedNames.isPresent()) {
      loadedNames.get().add(name);
    } else {
      role = name;
    }
  }

  private Optional<Set<String>> namesOf(Kind kind) {
    return switch (kind) {
      case LOAD_MODEL -> Optional.of(models);
      case LOAD_ADAPTER -> Optional.of(adapters);
      case LOAD_VERSION -> Optional.of(versions);
      case CHANGE_ROLE -> Optional.empty();
    };
  }

  void writeTo(ObjectNode report) {
    report.put("role", role);
    addNames(report, "models", models);
    addNames(report, "adapters", adapters);
    addNames(report, "versions", versions);
    ArrayNode ordersInProgress = report.putArray("orders_in_progress");
    inProgress.values().forEach(order -> addOrder(ordersInProgress, order));
    report.put("orders_applied", applied);
  }

  private static void addOrder(ArrayNode orders, Order order) {
    orders
        .addObject()
        .put("order", order.order())
        .put("name", order.name())
        .put("fencing_number", order.fencingNumber());
  }

  private static void addNames(ObjectNode report, String member, Set<String> names) {
    List<String> ordered = new ArrayList<>(names);
    ordered.forEach(report.putArray(member)::add);
  }
}
