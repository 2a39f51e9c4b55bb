package org.cactusseam.logic.query;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.cactusseam.model.DurationText;
import org.cactusseam.model.ObjectKey;
import org.cactusseam.model.ObjectKind;
import org.cactusseam.model.ServiceState;

/** Formats commands as text that {@link CommandParser} parses to the same command. */
public final class CommandPrinter {

  private CommandPrinter() {}

  /**
   * Formats a command in its canonical form.
   *
   * @param command command to format
   * @return command text in one line
   */
  public static String print(Command command) {
    return switch (command) {
      case Command.ShowRequests show -> "show requests" + conditions(show.conditions());
      case Command.Show show -> "show " + TokenParsers.lowerCase(show.listing());
      case Command.ShowCommand show -> "show command " + show.commandId();
      case Command.Create create ->
          "create " + object(create.key()) + attributes(create.attributes());
      case Command.Change change ->
          revision(change.revision())
              + "change "
              + object(change.key())
              + attributes(change.attributes());
      case Command.Remove remove -> revision(remove.revision()) + "remove " + object(remove.key());
      case Command.SetService set ->
          revision(set.revision())
              + (set.state() == ServiceState.OUT
                  ? "take " + object(set.key()) + " out"
                  : "bring " + object(set.key()) + " in");
      case Command.Roll roll ->
          revision(roll.revision())
              + "roll pool "
              + roll.pool()
              + " to version "
              + quoted(roll.version())
              + " within "
              + DurationText.format(roll.duration());
      case Command.ChangeRollout change ->
          revision(change.revision())
              + TokenParsers.lowerCase(change.change())
              + " "
              + object(change.key());
      case Command.Load load ->
          "load "
              + TokenParsers.lowerCase(load.artifact())
              + " "
              + quoted(load.name())
              + " on server "
              + load.server();
      case Command.ChangeRole change ->
          "change role of server " + change.server() + " to " + quoted(change.role());
    };
  }

  /**
   * Returns the keyword for a kind of object.
   *
   * @param kind kind of object
   * @return keyword of the command language
   */
  public static String keyword(ObjectKind kind) {
    return switch (kind) {
      case ACCOUNT -> "account";
      case PRIORITY_CLASS -> "class";
      case ROUTE -> "route";
      case FAILURE_DOMAIN -> "domain";
      case BACKEND_SERVER -> "server";
      case POOL_ROLLOUT -> "roll-out of pool";
    };
  }

  /**
   * Formats the identity of an object.
   *
   * @param key kind and name of the object
   * @return keyword and name, separated by a space
   */
  public static String object(ObjectKey key) {
    return keyword(key.kind()) + " " + key.name();
  }

  private static String revision(OptionalLong revision) {
    return revision.isPresent() ? "if revision " + revision.getAsLong() + " " : "";
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private static String conditions(List<Command.Condition> conditions) {
    String joined =
        conditions.stream()
            .map(condition -> TokenParsers.lowerCase(condition.field()) + " = " + condition.name())
            .collect(Collectors.joining(" and "));
    return joined.isEmpty() ? "" : " where " + joined;
  }

  private static String attributes(Attributes attributes) {
    Words words = new Words();
    switch (attributes) {
      case Attributes.OfClass of -> {
        words.add("rank", of.rank());
        of.mayWait().ifPresent(value -> words.add(value ? "may-wait" : "may-wait no"));
      }
      case Attributes.OfAccount of -> {
        words.add("class", of.priorityClass());
        words.add("share", of.share());
        of.keyHashes().forEach(hash -> words.add("key-hash " + hash));
      }
      case Attributes.OfRoute of -> {
        words.add("path", of.path().map(CommandPrinter::quoted));
        words.add("model", of.model().map(CommandPrinter::quoted));
        words.add("pool", of.pool());
        words.add("kind", of.protocol().map(TokenParsers::lowerCase));
        words.add("repeatable", of.repeatable().map(value -> value ? "yes" : "no"));
        words.add("deadline", of.deadline().map(DurationText::format));
      }
      case Attributes.OfDomain of -> words.add("region", of.region());
      case Attributes.OfServer of -> {
        words.add("pool", of.pool());
        words.add("domain", of.domain());
        words.add("kind", of.protocol().map(TokenParsers::lowerCase));
        words.add("address", of.address());
        words.add("fencing", of.checksFencing().map(value -> value ? "checked" : "ignored"));
        words.add("cold-limit", of.coldLimit());
        words.add("warm-limit", of.warmLimit());
        words.add("memory", of.memoryTokens());
        words.add("version", of.version().map(CommandPrinter::quoted));
      }
    }
    return words.joined();
  }

  /** Collects the text of the attributes that are present. */
  private static final class Words {

    private final List<String> words = new ArrayList<>();

    void add(String word) {
      words.add(word);
    }

    void add(String keyword, Optional<?> value) {
      value.ifPresent(present -> words.add(keyword + " " + present));
    }

    String joined() {
      return words.stream().map(word -> " " + word).collect(Collectors.joining());
    }
  }
}
