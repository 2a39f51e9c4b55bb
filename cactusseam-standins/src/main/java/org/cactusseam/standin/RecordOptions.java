package org.cactusseam.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.RecordComponent;
import java.util.Locale;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Declares a command-line option for each component of a settings record. Deriving the names from
 * the record keeps the options consistent with the JSON members of {@code POST /faults}.
 *
 * @param <R> settings record
 */
public final class RecordOptions<R extends Record> {

  private final R defaults;

  /**
   * Declares the options at a parser.
   *
   * @param parser command-line parser that receives the options
   * @param defaults values of options that are absent from the command line
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
   * Builds the settings record from a parsed command line.
   *
   * @param options parsed command line
   * @return settings with the given values and the defaults for the others
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
      throw new IllegalStateException("record component without @OptionDescription: " + component);
    }
    return description.value();
  }

  @SuppressWarnings("unchecked") // a record is final, so getClass() is exactly Class<R>
  private Class<R> recordType() {
    return (Class<R>) defaults.getClass();
  }
}
