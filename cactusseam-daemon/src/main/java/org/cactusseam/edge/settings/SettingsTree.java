package org.cactusseam.edge.settings;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Keys and values of a YAML text with their positions, and the errors found in it. Uses the node
 * tree of the parser instead of bound objects, which have no positions and hide duplicate keys.
 */
final class SettingsTree {

  /** Scalar value with its position in the file. */
  record Scalar(String text, boolean quoted, boolean isNull, int line, int column) {}

  private record Position(int line, int column) {}

  private static final Position START = new Position(1, 1);

  private final String file;
  private final Set<String> keys;
  private final Set<String> sections;
  private final Map<String, Scalar> values = new HashMap<>();
  private final Map<String, Position> positions = new HashMap<>();
  private final List<SettingsFault> faults = new ArrayList<>();

  private SettingsTree(String file, Set<String> keys) {
    this.file = file;
    this.keys = keys;
    this.sections = keys.stream().flatMap(SettingsTree::parents).collect(Collectors.toSet());
    positions.put("", START);
  }

  private static Stream<String> parents(String path) {
    return Stream.iterate(parent(path), part -> !part.isEmpty(), SettingsTree::parent);
  }

  private static String parent(String path) {
    int dot = path.lastIndexOf('.');
    return dot < 0 ? "" : path.substring(0, dot);
  }

  /**
   * Parses a YAML text and checks its keys.
   *
   * @param file name of the file, used in error messages
   * @param text content of the file
   * @param keys paths of the known keys
   * @return tree with the errors found so far
   */
  static SettingsTree read(String file, String text, Set<String> keys) {
    SettingsTree tree = new SettingsTree(file, keys);
    try {
      Node root = new Yaml(new LoaderOptions()).compose(new StringReader(text));
      if (root != null) {
        tree.visitSection("", root);
      }
    } catch (MarkedYAMLException e) {
      tree.addSyntaxFault(e);
    } catch (YAMLException e) {
      tree.addFault(START, "", "not valid YAML");
    }
    return tree;
  }

  private void addSyntaxFault(MarkedYAMLException exception) {
    // Only the problem is reported: the full message of the parser quotes the file, which may hold
    // secrets.
    Position position =
        Optional.ofNullable(exception.getProblemMark()).map(SettingsTree::position).orElse(START);
    String problem = Objects.requireNonNullElse(exception.getProblem(), "unreadable");
    addFault(position, "", "not valid YAML: " + problem);
  }

  private static Position position(Mark mark) {
    return new Position(mark.getLine() + 1, mark.getColumn() + 1);
  }

  private void visitSection(String path, Node node) {
    positions.put(path, position(node.getStartMark()));
    if (node instanceof MappingNode mapping) {
      mapping.getValue().forEach(entry -> visitEntry(path, entry));
    } else if (!Tag.NULL.equals(node.getTag())) {
      addFault(position(node.getStartMark()), path, "expected a group of keys");
    }
  }

  private void visitEntry(String section, NodeTuple entry) {
    Position position = position(entry.getKeyNode().getStartMark());
    if (!(entry.getKeyNode() instanceof ScalarNode keyNode)) {
      addFault(position, section, "expected a key");
      return;
    }
    String path = section.isEmpty() ? keyNode.getValue() : section + "." + keyNode.getValue();
    boolean isSection = sections.contains(path) && !keyNode.getValue().contains(".");
    boolean isKey = keys.contains(path) && !keyNode.getValue().contains(".");
    if (!isSection && !isKey) {
      addFault(position, path, "unknown key" + listKnownKeys(section));
    } else if (positions.containsKey(path)) {
      addFault(position, path, "duplicate key, first at line " + positions.get(path).line());
    } else if (isSection) {
      visitSection(path, entry.getValueNode());
    } else {
      positions.put(path, position);
      visitValue(path, entry.getValueNode());
    }
  }

  private String listKnownKeys(String section) {
    String known =
        Stream.concat(keys.stream(), sections.stream())
            .filter(path -> parent(path).equals(section))
            .map(path -> path.substring(path.lastIndexOf('.') + 1))
            .sorted()
            .collect(Collectors.joining(", "));
    return "; known here: " + known;
  }

  private void visitValue(String path, Node node) {
    Position position = position(node.getStartMark());
    if (node instanceof ScalarNode scalar) {
      boolean isNull = Tag.NULL.equals(scalar.getTag());
      values.put(
          path,
          new Scalar(
              scalar.getValue(), !scalar.isPlain(), isNull, position.line(), position.column()));
    } else {
      addFault(position, path, "expected a single value");
    }
  }

  private void addFault(Position position, String path, String message) {
    faults.add(new SettingsFault(file, position.line(), position.column(), path, message));
  }

  /**
   * Adds an error about a value at its position, or at that of the innermost enclosing section if
   * the value is absent.
   *
   * @param path path of the key
   * @param message description of the error
   */
  void addFault(String path, String message) {
    Scalar scalar = values.get(path);
    Position position =
        scalar == null ? innermostPosition(path) : new Position(scalar.line(), scalar.column());
    addFault(position, path, message);
  }

  private Position innermostPosition(String path) {
    Position position = positions.get(path);
    return position != null ? position : innermostPosition(parent(path));
  }

  /**
   * Returns the value of a key.
   *
   * @param path path of the key
   * @return scalar value, or empty if the key is absent or has no scalar value
   */
  Optional<Scalar> value(String path) {
    return Optional.ofNullable(values.get(path));
  }

  /**
   * Tells whether the file has a key, even if its value is invalid.
   *
   * @param path path of the key
   * @return true if the key or section is present
   */
  boolean isPresent(String path) {
    return positions.containsKey(path);
  }

  /**
   * Adds an error found in another file.
   *
   * @param fault error with its file and position
   */
  void addFault(SettingsFault fault) {
    faults.add(fault);
  }

  /**
   * Returns the errors found so far.
   *
   * @return errors of the settings file, then of other files, each ordered by position
   */
  List<SettingsFault> faults() {
    return faults.stream()
        .sorted(
            Comparator.comparing((SettingsFault fault) -> !fault.file().equals(file))
                .thenComparing(SettingsFault::file)
                .thenComparing(SettingsFault::line)
                .thenComparing(SettingsFault::column))
        .toList();
  }
}
