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

/** What an engine has loaded, changed by orders. */
final class Orders {

  private final EngineOptions options;
  private final Set<String> models = new LinkedHashSet<>();
  private final Set<String> adapters = new LinkedHashSet<>();
  private final Set<String> versions = new LinkedHashSet<>();
  private final Map<Integer, Order> inProgress = new LinkedHashMap<>();
  private String role;
  private int accepted;
  private int applied;

  /** Kinds of orders, named as in the protocol. */
  enum Kind {
    LOAD_MODEL,
    LOAD_ADAPTER,
    LOAD_VERSION,
    CHANGE_ROLE;

    static Kind parse(String text) {
      return Arrays.stream(values())
          .filter(kind -> kind.name().toLowerCase(Locale.ROOT).equals(text))
          .findFirst()
          .orElseThrow(() -> new InvalidInputException("unknown order: " + text));
    }
  }

  /**
   * An order.
   *
   * @param order kind, in lower case
   * @param name model, adapter, version or role
   * @param fencingNumber fencing number
   */
  record Order(String order, String name, long fencingNumber) {}

  Orders(EngineOptions options) {
    this.options = options;
    role = options.role();
    models.addAll(options.modelNames());
  }

  /** Returns to the state of the start. The count of applied orders stays for tests. */
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

  /** Begins to work on an order and returns a handle for {@link #finish}. */
  int begin(Order order) {
    inProgress.put(++accepted, order);
    return accepted;
  }

  /** Ends the work on an order; its effect shows at the same moment. A cleared one has none. */
  void finish(int handle) {
    Optional<Order> order = Optional.ofNullable(inProgress.remove(handle));
    order.ifPresent(found -> apply(Kind.parse(found.order()), found.name()));
  }

  private void apply(Kind kind, String name) {
    applied++;
    Optional<Set<String>> names = namesOf(kind);
    if (names.isPresent()) {
      names.get().add(name);
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

  void addTo(ObjectNode report) {
    report.put("role", role);
    addNames(report, "models", models);
    addNames(report, "adapters", adapters);
    addNames(report, "versions", versions);
    ArrayNode working = report.putArray("orders_in_progress");
    inProgress.values().forEach(order -> addOrder(working, order));
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
