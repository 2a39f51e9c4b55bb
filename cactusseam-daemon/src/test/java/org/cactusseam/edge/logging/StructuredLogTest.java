package org.cactusseam.edge.logging;

import static org.cactusseam.edge.logging.StructuredLog.field;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import org.cactusseam.edge.settings.Secret;
import org.cactusseam.edge.settings.Settings.LogFormat;
import org.cactusseam.edge.settings.Settings.LogLevel;
import org.cactusseam.edge.settings.Settings.Logging;
import org.jboss.logging.MDC;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.slf4j.LoggerFactory;

/**
 * Guards against log lines that lose the identity of their request, against values that forge lines
 * or reveal secrets, and against logging that throws.
 */
class StructuredLogTest {

  private static final class Unprintable {
    @Override
    public String toString() {
      throw new IllegalStateException("no text");
    }
  }

  @AfterEach
  void restore_the_default_configuration() throws Exception {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    new ContextInitializer(context).autoConfig();
  }

  private static List<String> lines(Logging logging, Consumer<StructuredLog> use) {
    PrintStream original = System.out;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      LoggingSetup.apply(logging);
      use.accept(StructuredLog.of(StructuredLogTest.class));
    } finally {
      System.setOut(original);
    }
    return bytes.toString(StandardCharsets.UTF_8).lines().toList();
  }

  @Test
  void each_event_is_one_json_object_with_the_identity_of_its_request() throws IOException {
    List<String> lines =
        lines(
            new Logging(LogLevel.INFO, LogFormat.JSON),
            log -> {
              log.forRequest("r-1").info("permit_granted", field("server", "w1"));
              log.error("broken", new IllegalStateException("a\nb"), field("count", 3));
            });

    assertThat(lines, hasSize(2));
    JsonNode first = new ObjectMapper().readTree(lines.get(0));
    assertThat(first.at("/mdc/request").asText(), is("r-1"));
    assertThat(first.at("/formattedMessage").asText(), is("permit_granted server=w1"));
    JsonNode second = new ObjectMapper().readTree(lines.get(1));
    assertThat(second.at("/mdc/request").isMissingNode(), is(true));
    assertThat(second.at("/throwable/message").asText(), is("a\nb"));
  }

  @Test
  void an_event_in_text_is_one_line_even_with_a_stack_trace() {
    List<String> lines =
        lines(
            new Logging(LogLevel.INFO, LogFormat.TEXT),
            log -> {
              log.forRequest("r-1").warn("refused\nforged", field("reason", "x"));
              log.error("broken", new IllegalStateException("a\nforged"));
            });

    assertThat(lines, hasSize(2));
    assertThat(lines.get(0), containsString("request=r-1 refused forged reason=x"));
    assertThat(lines.get(1), containsString("request=- broken"));
    assertThat(lines.get(1), containsString("IllegalStateException"));
  }

  @ParameterizedTest
  @CsvSource({"ERROR, 1", "WARN, 2", "INFO, 3", "DEBUG, 4", "TRACE, 4"})
  void the_level_of_the_settings_decides_which_lines_are_written(LogLevel level, int count) {
    List<String> lines =
        lines(
            new Logging(level, LogFormat.TEXT),
            log -> {
              log.error("a");
              log.warn("b");
              log.info("c");
              log.debug("d");
            });

    assertThat(lines, hasSize(count));
  }

  @Test
  void values_are_quoted_and_unprintable_or_secret_ones_are_masked() {
    List<String> lines =
        lines(
            new Logging(LogLevel.INFO, LogFormat.TEXT),
            log ->
                log.info(
                    "event",
                    field("text", "a b\n\"c\" d=e"),
                    field("none", null),
                    field("bad", new Unprintable()),
                    field("key", new Secret("hidden".getBytes(StandardCharsets.UTF_8)))));

    assertThat(lines, hasSize(1));
    assertThat(
        lines.get(0),
        containsString("text=\"a b\\n\\\"c\\\" d=e\" none=null bad=unprintable key=***"));
    assertThat(lines.get(0), not(containsString("hidden")));
  }

  @Test
  void the_request_of_an_outer_scope_is_restored() {
    MDC.put(StructuredLog.REQUEST, "outer");
    try {
      lines(
          new Logging(LogLevel.INFO, LogFormat.TEXT), log -> log.forRequest("inner").info("event"));

      assertThat(MDC.get(StructuredLog.REQUEST), is("outer"));
    } finally {
      MDC.remove(StructuredLog.REQUEST);
    }
  }
}
