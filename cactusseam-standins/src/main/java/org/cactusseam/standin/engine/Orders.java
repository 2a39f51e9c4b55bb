package org.cactusseam.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.cactusseam.standin.InvalidInputException;

/** What an engine has loaded, changed by orders. */
final class Orders {

  private final EngineOptions options;
  private final Set<String> models = new LinkedHashSet<>();
  private final Set<String> adapters = new LinkedHashSet<>();
  private final Set<String> versions = new LinkedHashSet<>();
  private String role;
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
  }

  boolean serves(String model) {
    return options.modelNames().isEmpty() || models.contains(model);
  }

  void apply(Kind kind, String name) {
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
    report.put("orders_applied", applied);
  }

  private static void addNames(ObjectNode report, String member, Set<String> names) {
    List<String> ordered = new ArrayList<>(names);
    ordered.forEach(report.putArray(member)::add);
  }
}
