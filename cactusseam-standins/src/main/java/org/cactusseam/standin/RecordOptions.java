package org.cactusseam.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.RecordComponent;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Makes each component of a record of settings an option, so that the names on the command line and
 * in {@code POST /faults} cannot differ.
 *
 * @param <R> record of settings
 */
public final class RecordOptions<R extends Record> {

  private final R defaults;

  /**
   * Declares the options.
   *
   * @param parser parser of the command line
   * @param defaults values of options that are not given
   */
  public RecordOptions(OptionParser parser, R defaults) {
    this.defaults = defaults;
    ObjectNode values = Json.toTree(defaults);
    for (RecordComponent component : defaults.getClass().getRecordComponents()) {
      parser
          .accepts(optionName(component), description(component))
          .withRequiredArg()
          .defaultsTo(values.get(jsonName(component)).asText());
    }
  }

  /**
   * Reads the options.
   *
   * @param options parsed command line
   * @return the settings
   * @throws InvalidInputException if a value has a wrong type
   */
  public R read(OptionSet options) {
    ObjectNode values = Json.object();
    for (RecordComponent component : defaults.getClass().getRecordComponents()) {
      values.put(jsonName(component), (String) options.valueOf(optionName(component)));
    }
    return Json.toValue(values, recordType());
  }

  private static String jsonName(RecordComponent component) {
    return component.getName().replaceAll("([A-Z])", "_$1").toLowerCase(Locale.ROOT);
  }

  private static String optionName(RecordComponent component) {
    return jsonName(component).replace('_', '-');
  }

  private static String description(RecordComponent component) {
    OptionDescription description = component.getAnnotation(OptionDescription.class);
    if (description == null) {
      throw new IllegalStateException("setting without description: " + component);
    }
    return description.value();
  }

  @SuppressWarnings("unchecked") // getClass of a record, which has no subclasses
  private Class<R> recordType() {
    return (Class<R>) defaults.getClass();
  }
}
