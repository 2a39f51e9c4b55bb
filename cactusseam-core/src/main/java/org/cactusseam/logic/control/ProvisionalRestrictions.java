package org.cactusseam.logic.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cactusseam.model.BackendServer;
import org.cactusseam.model.Configuration;
import org.cactusseam.model.ConfigurationObject;
import org.cactusseam.model.FailureDomain;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ServiceState;
import org.cactusseam.model.control.ControlRecord;

/**
 * Operator commands that take a failure domain or backend server out of service and apply before
 * they are recorded, so that they take effect during an outage of the log. Each is kept until the
 * log contains it or shows that the object has changed since the operator read it.
 *
 * <p>Not thread-safe; owned by the control thread.
 */
public final class ProvisionalRestrictions {

  /**
   * Bound on the commands that are kept, so that a faulty peer cannot exhaust the memory of this
   * node.
   */
  static final int MAXIMUM_COMMANDS = 10_000;

  private final Map<String, ControlRecord.Change> commands = new LinkedHashMap<>();

  /**
   * Keeps a command if it restricts an object whose revision is still the one that the operator
   * read.
   *
   * @param command change that takes a failure domain or backend server out of service and changes
   *     nothing else; other changes are not kept
   * @param state control state of this node
   * @return true if the command is in force on this node, by this restriction or by the log
   */
  public boolean add(ControlRecord.Change command, ControlState state) {
    if (state.recordedOutcome(command.commandId()).isPresent()) {
      return state.recordedOutcome(command.commandId()).equals(Optional.of(RecordOutcome.ACCEPTED));
    }
    boolean applies = isCurrent(command, state) && isRestriction(command, state.configuration());
    if (applies && commands.size() < MAXIMUM_COMMANDS) {
      commands.put(command.commandId(), command);
    }
    return commands.containsKey(command.commandId());
  }

  private static boolean isRestriction(ControlRecord.Change command, Configuration configuration) {
    Optional<ConfigurationObject> known = configuration.find(command.key());
    return known.isPresent() && command.value().equals(restricted(known.get()));
  }

  private static Optional<ConfigurationObject> restricted(ConfigurationObject object) {
    return switch (object) {
      case FailureDomain domain -> Optional.of(domain.withState(ServiceState.OUT));
      case BackendServer server -> Optional.of(server.withState(ServiceState.OUT));
      default -> Optional.empty();
    };
  }

  private static boolean isCurrent(ControlRecord.Change command, ControlState state) {
    return state.expectedRevision(command.key()) == command.expectedRevision();
  }

  /**
   * Drops the commands that are decided by the log. Must be called after each applied record and
   * each loaded snapshot.
   *
   * @param state control state of this node
   */
  public void onStateApplied(ControlState state) {
    commands
        .values()
        .removeIf(
            command ->
                state.recordedOutcome(command.commandId()).isPresent()
                    || !isCurrent(command, state));
  }

  /**
   * Returns the recorded configuration with the kept commands applied.
   *
   * @param state control state of this node
   * @return configuration by which this node admits work
   */
  public Configuration effective(ControlState state) {
    Configuration configuration = state.configuration();
    for (ControlRecord.Change command : commands.values()) {
      ObjectKey key = command.key();
      if (command.value().isPresent()) {
        configuration = configuration.with(command.value().get(), state.expectedRevision(key));
      }
    }
    return configuration;
  }

  /**
   * Returns the commands that the log does not contain yet. Every node that keeps them may append
   * them when the log is available again; duplicates are rejected by the command identity.
   *
   * @return commands in the order in which they were added
   */
  public List<ControlRecord.Change> pending() {
    return List.copyOf(commands.values());
  }
}
