package org.cactusseam.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import joptsimple.OptionParser;
import org.cactusseam.standin.engine.EngineFaults;
import org.cactusseam.standin.engine.EngineOptions;
import org.cactusseam.standin.log.LogFaults;
import org.cactusseam.standin.plain.PlainFaults;
import org.cactusseam.standin.plain.PlainOptions;
import org.cactusseam.standin.vmlist.VmListFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.FieldSource;

/** Verifies that settings are read correctly from the command line. */
class RecordOptionsTest {

  static final Record[] ALL_DEFAULTS = {
    EngineOptions.DEFAULTS,
    EngineFaults.NONE,
    PlainOptions.DEFAULTS,
    PlainFaults.NONE,
    LogFaults.NONE,
    VmListFaults.NONE
  };

  @ParameterizedTest
  @FieldSource("ALL_DEFAULTS")
  void options_that_are_not_given_have_their_defaults(Record defaults) {
    OptionParser parser = new OptionParser();
    RecordOptions<Record> options = new RecordOptions<>(parser, defaults);

    assertThat(options.read(parser.parse()), is(defaults));
  }

  @Test
  void given_options_replace_defaults_whatever_their_type() {
    OptionParser parser = new OptionParser();
    RecordOptions<EngineFaults> options = new RecordOptions<>(parser, EngineFaults.NONE);

    EngineFaults faults =
        options.read(parser.parse("--stall", "true", "--crash-text=a b", "--load-lag-ms", "7"));

    assertThat(faults.stall(), is(true));
    assertThat(faults.crashText(), is("a b"));
    assertThat(faults.loadLagMs(), is(7L));
  }

  @ParameterizedTest
  @CsvSource({"--stall, maybe", "--load-lag-ms, 1.5", "--load-lag-ms, x", "--load-lag-ms, ''"})
  void a_value_of_a_wrong_type_is_refused(String name, String value) {
    OptionParser parser = new OptionParser();
    RecordOptions<EngineFaults> options = new RecordOptions<>(parser, EngineFaults.NONE);

    assertThrows(InvalidInputException.class, () -> options.read(parser.parse(name + "=" + value)));
  }
}
