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
 * The keys and values of a YAML text with their positions. It works on the nodes of the parser
 * instead of bound objects, because bound objects have no positions and hide duplicate keys.
 */
final class SettingsTree {

  /** A value with its position. */
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
   * Reads a text.
   *
   * @param file name of the file, for faults
   * @param text content
   * @param keys paths of the known keys
   * @return the tree, with the faults found so far
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
    // The message of the parser is left out beyond its problem, because it quotes the file.
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
      addFault(position, path, "unknown key" + nearest(section));
    } else if (positions.containsKey(path)) {
      addFault(position, path, "duplicate key, first at line " + positions.get(path).line());
    } else if (isSection) {
      visitSection(path, entry.getValueNode());
    } else {
      positions.put(path, position);
      visitValue(path, entry.getValueNode());
    }
  }

  private String nearest(String section) {
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
   * Adds a fault about a value, at its position or at that of the innermost group that is present.
   *
   * @param path path of the key
   * @param message message
   */
  void addFault(String path, String message) {
    Scalar scalar = values.get(path);
    Position position =
        scalar == null ? innermost(path) : new Position(scalar.line(), scalar.column());
    addFault(position, path, message);
  }

  private Position innermost(String path) {
    Position position = positions.get(path);
    return position != null ? position : innermost(parent(path));
  }

  /**
   * Returns the value of a key.
   *
   * @param path path of the key
   * @return the value, or empty if the key is absent or has no single value
   */
  Optional<Scalar> value(String path) {
    return Optional.ofNullable(values.get(path));
  }

  /**
   * Tells whether a key was written, even if its value has a fault.
   *
   * @param path path of the key
   * @return true if the file has the key
   */
  boolean isPresent(String path) {
    return positions.containsKey(path);
  }

  /**
   * Adds a fault of another file.
   *
   * @param fault fault
   */
  void addFault(SettingsFault fault) {
    faults.add(fault);
  }

  /**
   * Returns the faults found so far.
   *
   * @return faults, ordered by file and position
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
